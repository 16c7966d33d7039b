/// Which requests a stopping instance still passes on, and a replay of the
/// last seconds of one.

#include "vanillapost/attempts.hpp"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

using namespace vanillapost;
using namespace std::chrono_literals;

namespace {

constexpr duration grace = 6s;
const time_point began{100s};

TEST(ShutdownPlan, OneThatMayOutliveTheProcessIsPassedOnEarlyOnly)
{
    const shutdown_plan plan(began, grace);
    const late_request booking{4s, 160ms, false, true};
    EXPECT_TRUE(plan.admits(began, booking));
    EXPECT_TRUE(plan.admits(began + 2500ms, booking));
    EXPECT_FALSE(plan.admits(began + 2600ms, booking));
    EXPECT_FALSE(plan.admits(began + 5400ms, booking));
}

TEST(ShutdownPlan, OneThatEndsBeforeTheProcessIsPassedOn)
{
    const shutdown_plan plan(began, grace);
    const late_request lookup{1s, 120ms, true, true};
    EXPECT_TRUE(plan.admits(began + 4500ms, lookup));
    EXPECT_FALSE(plan.admits(began + 4501ms, lookup));
}

TEST(ShutdownPlan, WithoutPeersAFastRepeatableOneIsPassedOnForLonger)
{
    const shutdown_plan plan(began, grace);
    EXPECT_TRUE(plan.admits(began + 5s, {4s, 120ms, true, false}));
    EXPECT_FALSE(plan.admits(began + 5s, {4s, 120ms, true, true}));
    EXPECT_FALSE(plan.admits(began + 5s, {4s, 120ms, false, false}));
    EXPECT_FALSE(plan.admits(began + 5400ms, {4s, 120ms, true, false}));
}

RC_GTEST_PROP(ShutdownPlan, ItsTimesAreInOrderAndNothingLateOutlivesThem, ())
{
    const auto period = *rc::gen::inRange<std::int64_t>(0, 30'000'000);
    const shutdown_plan plan(began, duration(period));
    RC_ASSERT(plan.answers_until() <= plan.exits_at());
    RC_ASSERT(plan.exits_at() <= began + duration(period));
    const auto read_at =
        began + duration(*rc::gen::inRange<std::int64_t>(0, 30'000'000));
    late_request request;
    request.time_limit =
        duration(*rc::gen::inRange<std::int64_t>(0, 10'000'000));
    request.has_peers = true;
    const bool late = read_at >= plan.accepts_until();
    if (late && plan.admits(read_at, request))
        RC_ASSERT(read_at + request.time_limit <= plan.answers_until());
}

struct stop_result
{
    int served = 0;
    int refused = 0;
    int cut = 0;
};

/// Requests that are still read after the end of accepting: work of 160 ms in
/// the mean with a long tail, time limits of 1 to 4 s.
stop_result replay_stop(bool passes_all_on)
{
    const shutdown_plan plan(began, grace);
    std::mt19937_64 random(20261205);
    std::exponential_distribution<double> gap(50);
    std::lognormal_distribution<double> work(-2.2, 0.9);
    std::uniform_int_distribution<int> limit_ms(1000, 4000);
    stop_result result;
    auto now = plan.accepts_until();
    while (now < plan.exits_at()) {
        const auto needed = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(work(random)));
        const late_request request{std::chrono::milliseconds(limit_ms(random)),
                                   160ms, false, true};
        if (!passes_all_on && !plan.admits(now, request))
            ++result.refused;
        else if (now + needed <= plan.exits_at() ||
                 now + request.time_limit <= plan.exits_at())
            ++result.served;
        else
            ++result.cut;
        now += std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(gap(random)));
    }
    return result;
}

// Bookings that were read late were cut as the process ended: nobody could say
// whether they had run.
TEST(ShutdownPlan, AReplayedStopCutsNothingWhereAllOnceWerePassedOn)
{
    const auto before = replay_stop(true);
    const auto after = replay_stop(false);
    EXPECT_GT(before.cut, 0);
    EXPECT_EQ(after.cut, 0);
    EXPECT_GT(after.served, 0);
    EXPECT_EQ(after.served + after.refused, before.served + before.cut);
}

} // namespace
