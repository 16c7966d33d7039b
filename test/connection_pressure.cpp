/// Which connections are closed when clients hold too much together.

#include "vanillapost/src/io/detail/connection_pressure.hpp"
#include "vanillapost/src/io/client_ledger.hpp"

#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck/gtest.h>

namespace {

using namespace std::chrono_literals;
using namespace vanillapost;
using namespace vanillapost::io;
using namespace vanillapost::io::detail;

constexpr time_point start{1000s};
using indexes = std::vector<std::size_t>;

client_hold make_hold(client_state state, std::size_t bytes, duration wait = 0s)
{
    return {bytes, state, start - wait};
}

TEST(ConnectionPressure, MostBytesForTheLongestTimeGoFirst)
{
    const std::vector holds = {make_hold(client_state::reading, 100, 1s),
                               make_hold(client_state::reading, 100, 9s),
                               make_hold(client_state::unread, 5000, 0s)};
    EXPECT_EQ(select_for_bytes(holds, 1, start), indexes({2}));
    EXPECT_EQ(select_for_bytes(holds, 5001, start), indexes({2, 1}));
}

TEST(ConnectionPressure, ThoseThatWaitForTheSystemGoLast)
{
    const std::vector holds = {make_hold(client_state::working, 9000, 60s),
                               make_hold(client_state::idle, 0, 60s),
                               make_hold(client_state::reading, 10)};
    EXPECT_EQ(select_for_bytes(holds, 9010, start), indexes({2, 0}));
    EXPECT_EQ(select_for_bytes(holds, 100'000, start), indexes({2, 0}));
}

TEST(ConnectionPressure, ASlowRequestLeavesItsPlaceBeforeAnIdleConnection)
{
    const std::vector holds = {make_hold(client_state::idle, 0, 10s),
                               make_hold(client_state::reading, 10, 2s),
                               make_hold(client_state::reading, 10, 3s)};
    EXPECT_EQ(select_for_place(holds, start), 2U);
}

TEST(ConnectionPressure, AnIdleConnectionLeavesItsPlaceBeforeABusyOne)
{
    const std::vector holds = {make_hold(client_state::reading, 10, 500ms),
                               make_hold(client_state::unread, 10, 10s),
                               make_hold(client_state::idle, 0, 1s),
                               make_hold(client_state::idle, 0, 2s)};
    EXPECT_EQ(select_for_place(holds, start), 3U);
}

TEST(ConnectionPressure, NoneThatWaitsForTheSystemLeavesItsPlace)
{
    const std::vector holds = {make_hold(client_state::working, 10, 90s)};
    EXPECT_EQ(select_for_place(holds, start), std::nullopt);
}

// A crowd that stops half-way, beside callers whose requests come whole.
TEST(ConnectionPressure, ACrowdGoesBeforeOrdinaryCallers)
{
    constexpr std::size_t crowd = 400;
    std::vector<client_hold> holds(20, make_hold(client_state::reading, 600));
    holds.resize(40, make_hold(client_state::working, 600, 5s));
    const auto ordinary = holds.size();
    holds.resize(ordinary + crowd, make_hold(client_state::reading, 60'000));
    for (const auto i : select_for_bytes(holds, crowd * 60'000, start))
        EXPECT_GE(i, ordinary);
}

/// A connection of a ledger.
class held_connection : public ledger_member
{
public:
    explicit held_connection(client_ledger& ledger) : ledger_(ledger)
    {
        ledger.add(*this);
    }

    client_hold hold() const override
    {
        return {0, state, start};
    }

    void close_for_room() override
    {
        is_closed = true;
        ledger_.remove(*this);
    }

    client_state state = client_state::reading;
    bool is_closed = false;

private:
    client_ledger& ledger_;
};

TEST(ClientLedger, OneMoreThanThePlacesClosesOne)
{
    client_ledger ledger;
    ledger.set_bounds({1000, 2});
    held_connection first(ledger);
    EXPECT_TRUE(ledger.make_place(start));
    held_connection second(ledger);
    EXPECT_TRUE(ledger.make_place(start));
    EXPECT_NE(first.is_closed, second.is_closed);
    EXPECT_EQ(ledger.connections(), 1U);
    EXPECT_EQ(ledger.closed_for_place(), 1U);
}

TEST(ClientLedger, NoPlaceIsFreeWhileAllWaitForTheSystem)
{
    client_ledger ledger;
    ledger.set_bounds({1000, 1});
    held_connection only(ledger);
    only.state = client_state::working;
    EXPECT_FALSE(ledger.make_place(start));
    EXPECT_FALSE(only.is_closed);
}

TEST(ClientLedger, TheOneThatAsksStays)
{
    client_ledger ledger;
    ledger.set_bounds({1000, 10});
    held_connection asking(ledger);
    held_connection other(ledger);
    ledger.note(asking, 900);
    ledger.note(other, 200);
    EXPECT_FALSE(asking.is_closed);
    EXPECT_TRUE(ledger.make_room(asking, start));
    EXPECT_TRUE(other.is_closed);
    EXPECT_FALSE(asking.is_closed);
    ledger.note(asking, 1001);
    EXPECT_FALSE(ledger.make_room(asking, start));
}

RC_GTEST_PROP(ClientLedger, HoldsNoMoreThanItsBoundBehindMakeRoom,
              (std::vector<std::uint16_t> sizes))
{
    constexpr std::size_t bound = 100'000;
    client_ledger ledger;
    ledger.set_bounds({bound, 1000});
    std::vector<std::unique_ptr<held_connection>> all;
    for (const auto size : sizes) {
        all.push_back(std::make_unique<held_connection>(ledger));
        ledger.note(*all.back(), size);
        RC_ASSERT(ledger.make_room(*all.back(), start));
        RC_ASSERT(ledger.bytes() <= bound);
    }
}

} // namespace
