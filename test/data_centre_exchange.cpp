#include "../bench/replay/data_centre_replay.hpp"
#include "vanillapost/placement.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

/// When requests leave their data centre: the decision, and replays in virtual
/// time of what it does for callers.

using namespace vanillapost;
using namespace vanillapost::bench;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};
const service_id service{"s"};
const data_centre_id here{"d1"};
const data_centre_id there{"d2"};
constexpr double work_us = 120'000;

data_centre_room make_room(const data_centre_id& where, double free_share)
{
    data_centre_room made;
    made.data_centre = where;
    made.listed = 10;
    made.eligible = 10;
    made.free_share = free_share;
    made.occupancy = 1 - free_share;
    made.free_slots = 10 * free_share;
    made.any_fresh = true;
    made.best_cost = work_us;
    made.best_expected = work_us;
    return made;
}

leaving_request make_request()
{
    return {service, work_us, 3 * work_us, true};
}

// A data centre whose targets take much longer than those elsewhere.
data_centre_room make_slow_room(double free_share)
{
    auto made = make_room(here, free_share);
    made.best_cost = 2.5 * work_us;
    made.best_expected = 2.5 * work_us;
    return made;
}

struct exchange_fixture
{
    data_centre_exchange exchange{{}, here};

    std::optional<leaving_permit> decide(const data_centre_room& local,
                                         const data_centre_room& remote,
                                         time_point now = start)
    {
        const std::vector rooms{local, remote};
        return exchange.decide(make_request(), rooms, now);
    }
};

TEST(DataCentreExchange, RequestsStayWhileThereIsRoomHere)
{
    exchange_fixture f;
    EXPECT_FALSE(f.decide(make_room(here, 0.5), make_room(there, 1)));
}

// Where a service has few targets, whether one of them is free says little of
// the next request; waiting for them cost callers more than the way elsewhere.
TEST(DataCentreExchange, WithFewTargetsHereTheCostDecides)
{
    exchange_fixture f;
    auto local = make_room(here, 0.5);
    local.listed = 7;
    const auto permit = f.decide(local, make_room(there, 1));
    ASSERT_TRUE(permit);
    EXPECT_EQ(permit->cause, leaving_cause::few_here);
    EXPECT_EQ(permit->min_gain, 0);
    local.listed = 8;
    EXPECT_FALSE(f.decide(local, make_room(there, 1)));
}

TEST(DataCentreExchange, AShortDataCentreSendsToWhereMoreIsFree)
{
    exchange_fixture f;
    auto local = make_room(here, 0);
    local.best_cost *= 1.7;
    const auto permit = f.decide(local, make_room(there, 0.8));
    ASSERT_TRUE(permit);
    EXPECT_EQ(permit->cause, leaving_cause::short_here);
    EXPECT_EQ(permit->destinations, std::vector{there});
}

TEST(DataCentreExchange, ARequestStaysIfTheWayCostsMoreThanItGains)
{
    exchange_fixture f;
    auto local = make_room(here, 0);
    local.best_cost *= 1.2;
    auto remote = make_room(there, 0.8);
    remote.best_cost *= 1.3;
    EXPECT_FALSE(f.decide(local, remote));
}

TEST(DataCentreExchange, TwoShortDataCentresDoNotTradeRequests)
{
    exchange_fixture f;
    auto local = make_room(here, 0.01);
    local.best_cost *= 3;
    EXPECT_FALSE(f.decide(local, make_room(there, 0.05)));
}

TEST(DataCentreExchange, ADataCentreThatWasShortStaysSoUntilClearlyMoreIsFree)
{
    const exchange_settings settings;
    const double between = (settings.short_below + settings.enough_from) / 2;
    auto local = make_room(here, between);
    local.best_cost *= 1.7;
    exchange_fixture fresh;
    EXPECT_FALSE(fresh.decide(local, make_room(there, 1)));
    exchange_fixture was_short;
    was_short.decide(make_room(here, 0), make_room(there, 1));
    EXPECT_TRUE(was_short.decide(local, make_room(there, 1)));
    was_short.decide(make_room(here, 0.5), make_room(there, 1));
    EXPECT_FALSE(was_short.decide(local, make_room(there, 1)));
}

TEST(DataCentreExchange, SlownessHereCountsOnlyIfItWasMeasured)
{
    auto local = make_slow_room(0.5);
    exchange_fixture f;
    const auto permit = f.decide(local, make_room(there, 1));
    ASSERT_TRUE(permit);
    EXPECT_EQ(permit->cause, leaving_cause::slow_here);
    local.any_fresh = false;
    auto request = make_request();
    request.final_choice = false;
    const std::vector rooms{local, make_room(there, 1)};
    EXPECT_FALSE(f.exchange.decide(request, rooms, start));
}

// Nothing holds back a request that has no target here: neither the free share
// there, nor the amount, nor what went before.
TEST(DataCentreExchange, WithoutTargetsHereARequestLeavesAtOnce)
{
    exchange_fixture f;
    f.decide(make_room(here, 1), make_room(there, 1));
    auto local = make_room(here, 0);
    local.eligible = 0;
    for (int i = 0; i < 100; ++i) {
        const auto permit = f.decide(local, make_room(there, 0));
        ASSERT_TRUE(permit);
        EXPECT_EQ(permit->cause, leaving_cause::none_here);
        f.exchange.on_left(service, there, permit->cause, start);
    }
    const std::vector none_listed{make_room(there, 0)};
    EXPECT_TRUE(f.exchange.decide(make_request(), none_listed, start));
}

// At one moment, the instances of all data centres that are short send no more
// than is free there, and one each.
RC_GTEST_PROP(DataCentreExchange, NoMoreLeaveAtOnceThanIsFree, ())
{
    const auto instances = *rc::gen::inRange<std::size_t>(1, 60);
    const double free_share = *rc::gen::inRange(10, 101) / 100.0;
    double sent = 0;
    for (std::size_t i = 0; i < instances; ++i) {
        exchange_fixture f;
        f.exchange.set_instances(instances);
        const auto local = make_slow_room(0);
        const auto remote = make_room(there, free_share);
        for (int j = 0; j < 100; ++j) {
            const auto permit = f.decide(local, remote);
            if (!permit)
                break;
            f.exchange.on_left(service, there, permit->cause, start);
            ++sent;
        }
    }
    const double free_slots = make_room(there, free_share).free_slots;
    RC_ASSERT(sent <= std::max<double>(free_slots, 0));
}

// What is handed out in a longer time is what is free, once for each period.
RC_GTEST_PROP(DataCentreExchange, TheAmountIsBoundedOverTime, ())
{
    const exchange_settings settings;
    const auto instances = *rc::gen::inRange<std::size_t>(1, 60);
    const auto periods = *rc::gen::inRange(1, 200);
    exchange_fixture f;
    f.exchange.set_instances(instances);
    const auto remote = make_room(there, 0.5);
    int sent = 0;
    for (int i = 0; i < periods * 10; ++i) {
        const auto now = start + i * settings.amount_period / 10;
        while (const auto permit = f.decide(make_slow_room(0), remote, now)) {
            f.exchange.on_left(service, there, permit->cause, now);
            ++sent;
        }
    }
    const double part = remote.free_slots / static_cast<double>(instances);
    RC_ASSERT(sent <= part * (periods + 1) + 1);
}

TEST(DataCentreExchange, TheDelayIsMeasured)
{
    const exchange_settings settings;
    exchange_fixture f;
    EXPECT_EQ(f.exchange.delay_to(there), settings.initial_delay);
    for (int i = 0; i < 5; ++i) {
        f.exchange.on_round_trip(here, 1ms + i * 300us, start);
        f.exchange.on_round_trip(there, 8ms + i * 300us, start);
    }
    EXPECT_EQ(f.exchange.delay_to(there), 7ms);
    EXPECT_EQ(f.exchange.delay_to({"d3"}), settings.initial_delay);
}

TEST(DataCentreExchange, AWayThatHasBecomeLongerIsNoticed)
{
    round_trip_estimator way;
    for (int i = 0; i < 3; ++i)
        way.on_round_trip(1ms, start);
    EXPECT_EQ(way.shortest(), 1ms);
    way.on_round_trip(9ms, start + round_trip_estimator::period);
    EXPECT_EQ(way.shortest(), 1ms);
    way.on_round_trip(9ms, start + 2 * round_trip_estimator::period);
    EXPECT_EQ(way.shortest(), 9ms);
}

TEST(DataCentreExchange, BeginAndEndAreToldOnce)
{
    exchange_fixture f;
    for (int i = 0; i < 5; ++i)
        f.exchange.on_left(service, there, leaving_cause::short_here, start);
    const auto began = f.exchange.take_changes(start);
    ASSERT_EQ(began.size(), 1u);
    EXPECT_EQ(began[0].began, leaving_cause::short_here);
    EXPECT_TRUE(f.exchange.take_changes(start + 1s).empty());
    const auto quiet = start + data_centre_exchange::quiet_time;
    const auto ended = f.exchange.take_changes(quiet);
    ASSERT_EQ(ended.size(), 1u);
    EXPECT_FALSE(ended[0].began);
    EXPECT_TRUE(f.exchange.take_changes(quiet).empty());
}

TEST(DataCentreExchange, ServicesWithoutTargetsAreForgotten)
{
    exchange_fixture f;
    f.exchange.on_left(service, there, leaving_cause::short_here, start);
    f.exchange.take_changes(start);
    f.exchange.retain({}, {});
    EXPECT_TRUE(f.exchange.take_changes(start + 1h).empty());
}

// Replays.

data_centre_pattern pattern_of(const std::string& name)
{
    for (const auto& each : data_centre_patterns())
        if (each.name == name)
            return each;
    throw std::logic_error("there is no pattern " + name);
}

data_centre_result replay(const data_centre_pattern& pattern,
                          data_centre_rule rule = data_centre_rule::weighed)
{
    return data_centre_replay(pattern, rule).run();
}

/// Difference of shares of some thousand requests that is noise.
constexpr double noise = 0.03;

struct replay_size
{
    std::size_t targets;
    int slots;
    duration one_way;
    duration length;
};

void expect_no_fewer_in_time(data_centre_pattern pattern)
{
    for (const auto& size :
         {replay_size{8, 2, 500us, 30s}, replay_size{8, 2, 3500us, 30s},
          replay_size{86, 4, 1400us, 2s}}) {
        pattern.targets = size.targets;
        pattern.slots = size.slots;
        pattern.one_way = size.one_way;
        pattern.length = size.length;
        const auto own = replay(pattern);
        const auto fixed = replay(pattern, data_centre_rule::fixed_count);
        EXPECT_GT(own.in_time_share(), fixed.in_time_share() - noise)
            << pattern.name << ", " << size.targets << " targets, "
            << size.one_way / 1us << " us";
    }
}

class DataCentreReplay : public testing::TestWithParam<std::string>
{
};

TEST_P(DataCentreReplay, NoFewerAreInTimeThanByAFixedNumberOfTargets)
{
    expect_no_fewer_in_time(pattern_of(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(Patterns, DataCentreReplay,
                         testing::Values("calm", "one short", "all short",
                                         "a wave", "one slow", "one evacuated",
                                         "a cut link", "evacuated and cut"),
                         [](const auto& given) {
                             auto name = given.param;
                             std::ranges::replace(name, ' ', '_');
                             return name;
                         });

TEST(DataCentreReplay, AShortDataCentreIsServedByTheOthers)
{
    auto pattern = pattern_of("one short");
    pattern.length = 30s;
    const auto own = replay(pattern);
    const auto alone = replay(pattern, data_centre_rule::local_only);
    EXPECT_GT(own.in_time_share(), alone.in_time_share() + 0.1);
}

TEST(DataCentreReplay, FewLeaveWhereThereIsRoom)
{
    auto pattern = pattern_of("calm");
    pattern.length = 30s;
    const auto own = replay(pattern);
    const auto fixed = replay(pattern, data_centre_rule::fixed_count);
    EXPECT_LT(own.left, fixed.left / 2);
}

TEST(DataCentreReplay, DataCentresThatAreAllShortDoNotTrade)
{
    auto pattern = pattern_of("all short");
    pattern.length = 30s;
    const auto own = replay(pattern);
    EXPECT_LT(own.left_share(), 0.1);
    EXPECT_GT(own.in_time_share(),
              replay(pattern, data_centre_rule::fixed_count).in_time_share());
}

// In the second after the evacuation, its callers are served from elsewhere.
TEST(DataCentreReplay, AnEvacuationAndACutLinkAreBorneAtOnce)
{
    auto pattern = pattern_of("evacuated and cut");
    pattern.targets = 45;
    pattern.length = 6s;
    const auto own = replay(pattern);
    auto calm = pattern_of("calm");
    calm.targets = 45;
    calm.length = 5s;
    const auto before = replay(calm);
    const double asked = own.asked - before.asked;
    const double in_time = own.in_time - before.in_time;
    EXPECT_GT(in_time / asked, 0.5);
}

} // namespace
