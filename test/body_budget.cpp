#include "vanillapost/src/io/detail/body_budget.hpp"

#include <gtest/gtest.h>
#include <list>
#include <rapidcheck/gtest.h>
#include <vector>

using vanillapost::io::detail::body_budget;

namespace {

TEST(BodyBudget, RoomIsFreeAgainWhenALeaseEnds)
{
    body_budget budget(100);
    auto first = budget.reserve(60);
    ASSERT_TRUE(first);
    EXPECT_FALSE(budget.reserve(60));
    first.reset();
    EXPECT_EQ(budget.reserved(), 0u);
    EXPECT_TRUE(budget.reserve(60));
}

TEST(BodyBudget, ABodyOverTheBoundIsLetInAlone)
{
    body_budget budget(100);
    auto large = budget.reserve(500);
    ASSERT_TRUE(large);
    EXPECT_FALSE(budget.reserve(1));
    large.reset();
    EXPECT_TRUE(budget.reserve(1));
}

TEST(BodyBudget, WaitersAreServedInOrder)
{
    body_budget budget(100);
    std::vector<int> order;
    std::list<body_budget::lease> granted;
    auto first = budget.reserve(80);
    for (int i = 0; i < 3; ++i)
        budget.wait(&order + i, i == 0 ? 90 : 10, [&, i](auto lease) {
            order.push_back(i);
            granted.push_back(std::move(lease));
        });
    // There is room for the small ones, which would let the large one starve.
    EXPECT_TRUE(order.empty());
    EXPECT_FALSE(budget.reserve(5));
    first.reset();
    EXPECT_EQ(order, (std::vector{0, 1}));
    granted.pop_front();
    EXPECT_EQ(order, (std::vector{0, 1, 2}));
}

TEST(BodyBudget, OneThatGoesMakesRoomForThoseBehindIt)
{
    body_budget budget(100);
    std::list<body_budget::lease> granted;
    auto first = budget.reserve(80);
    int large = 0;
    int small = 0;
    const auto take = [&](auto lease) { granted.push_back(std::move(lease)); };
    budget.wait(&large, 90, take);
    budget.wait(&small, 20, take);
    budget.cancel(&large);
    EXPECT_FALSE(budget.is_waiting(&small));
    EXPECT_EQ(budget.reserved(), 100u);
}

// Whatever comes and goes in whatever order, the bound holds, and once all that
// was let in has ended nobody waits.
RC_GTEST_PROP(BodyBudget, NoOrderOfBodiesBreaksTheBoundOrStalls, ())
{
    constexpr std::size_t bound = 100;
    body_budget budget(bound);
    std::list<body_budget::lease> held;
    const auto take = [&](auto lease) { held.push_back(std::move(lease)); };
    const auto sizes =
        *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange(1, 150));
    for (const auto& size : sizes) {
        if (auto lease = budget.reserve(size))
            held.push_back(std::move(*lease));
        else
            budget.wait(&size, size, take);
        RC_ASSERT(budget.reserved() <= bound || held.size() == 1);
        if (!held.empty() && *rc::gen::inRange(0, 3) == 0)
            held.erase(std::next(
                held.begin(),
                *rc::gen::inRange<std::ptrdiff_t>(0, std::ssize(held))));
    }
    while (!held.empty()) {
        RC_ASSERT(budget.reserved() <= bound || held.size() == 1);
        held.pop_front();
    }
    for (const auto& size : sizes)
        RC_ASSERT(!budget.is_waiting(&size));
    RC_ASSERT(budget.reserved() == 0);
}

} // namespace
