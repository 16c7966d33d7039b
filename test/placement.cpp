#include "vanillapost/placement.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace vanillapost;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};
const service_id service{"s"};
const entry_id self{"me"};

listed_target make_target(const std::string& id, const std::string& centre)
{
    listed_target made;
    made.id = {id};
    made.service = service;
    made.address = "127.0.0.1:1";
    made.data_centre = {centre};
    made.slots = 2;
    made.start_unix_ms = 1;
    return made;
}

listed_target with_version(listed_target made, const std::string& version)
{
    made.version = version;
    return made;
}

placement_settings make_settings()
{
    placement_settings made;
    made.data_centre = {"d1"};
    made.self = self;
    return made;
}

/// A placer with some targets.
struct placer_fixture
{
    target_catalog catalog;
    target_placer placer;
    std::map<service_id, double> rates{{service, 3.4}};

    explicit placer_fixture(const std::vector<std::string>& local,
                            const std::vector<std::string>& remote = {})
        : placer(make_settings(), random_engine(1))
    {
        for (const auto& id : local)
            catalog.put(make_target(id, "d1"));
        for (const auto& id : remote)
            catalog.put(make_target(id, "d2"));
        placer.set_members({{self, {"d1"}}});
        placer.update(catalog, rates, start);
    }

    void report(const std::string& id, int running, double slowdown_factor,
                time_point now = start)
    {
        placer.find({id})->on_report({running, 0, 2, slowdown_factor}, true,
                                     now);
    }

    placement_decision choose(const placement_options& options = {false, 0ms},
                              time_point now = start, double kib = 1)
    {
        placement_request request;
        request.service = service;
        request.expected_work = 120ms;
        request.expected_kib = kib;
        return placer.choose(request, options, now);
    }

    std::string chosen(time_point now = start, double kib = 1)
    {
        const auto decision = choose({false, 0ms}, now, kib);
        const auto* placed = std::get_if<place_on>(&decision);
        return placed ? placed->target.value : "";
    }
};

// At any time a quarter of the machines is four times slower, each for some
// 300 ms.
TEST(Placement, ATargetOnASlowedMachineIsAvoidedWhileItsReportIsFresh)
{
    placer_fixture p({"a", "b"});
    p.report("a", 0, 4);
    p.report("b", 0, 1);
    EXPECT_EQ(p.chosen(), "b");
}

TEST(Placement, AnIdleTargetGoesBeforeOneThatSlowsDownNearlyFull)
{
    placer_fixture p({"a", "b"});
    p.report("a", 1, 1);
    p.report("b", 0, 1.3);
    EXPECT_EQ(p.chosen(), "b");
}

TEST(Placement, OldReportsAreAskedForAnewBeforeTheChoice)
{
    placer_fixture p({"a", "b", "c", "d"});
    const auto first = p.choose({true, 0ms});
    ASSERT_TRUE(std::holds_alternative<probe_first>(first));
    EXPECT_EQ(std::get<probe_first>(first).targets.size(), 3u);
    for (const auto& id : {"a", "b", "c", "d"})
        p.report(id, 0, 1);
    EXPECT_TRUE(std::holds_alternative<place_on>(p.choose({true, 0ms})));
    const auto later = p.choose({true, 0ms}, start + 100ms);
    EXPECT_TRUE(std::holds_alternative<probe_first>(later));
}

TEST(Placement, FurtherTargetsAreProbedWhileAllProbedOnesAreSlow)
{
    placer_fixture p({"a", "b", "c", "d"});
    for (const auto& id : {"a", "b", "c"})
        p.report(id, 0, 6);
    const auto decision = p.choose({true, 0ms});
    ASSERT_TRUE(std::holds_alternative<probe_first>(decision));
    EXPECT_EQ(std::get<probe_first>(decision).targets,
              std::vector<target_id>{{"d"}});
}

TEST(Placement, LargeAnswersStayInTheDataCentreAndSmallOnesNeedNot)
{
    placer_fixture p({"near"}, {"far"});
    p.report("near", 0, 3);
    p.report("far", 0, 1);
    EXPECT_EQ(p.chosen(start, 1), "far");
    EXPECT_EQ(p.chosen(start, 90), "near");
}

// In a large cluster, traffic between data centres costs money, and one of many
// local targets is as good as any remote one.
TEST(Placement, RequestsStayInADataCentreWhileItHasRoomEnough)
{
    std::vector<std::string> local;
    for (int i = 0; i < 10; ++i)
        local.push_back("l" + std::to_string(i));
    placer_fixture p(local, {"far"});
    p.report("far", 0, 0.5);
    for (const auto& id : local)
        p.report(id, 0, 1);
    EXPECT_NE(p.chosen(), "far");
    for (std::size_t i = 0; i < 8; ++i)
        p.report(local[i], 2, 1);
    EXPECT_NE(p.chosen(), "far");
    // Requests leave the data centre before they would be late: no local target
    // can take one more without being full or slowing down.
    for (std::size_t i = 8; i < 10; ++i)
        p.report(local[i], 1, 1);
    const auto decision = p.choose({false, 300ms});
    ASSERT_TRUE(std::holds_alternative<place_on>(decision));
    const auto& placed = std::get<place_on>(decision);
    EXPECT_EQ(placed.target.value, "far");
    EXPECT_EQ(placed.left_because, leaving_cause::short_here);
}

TEST(Placement, RequestsLeaveADataCentreWhoseTargetsAreAllMuchSlower)
{
    std::vector<std::string> local;
    for (int i = 0; i < 10; ++i)
        local.push_back("l" + std::to_string(i));
    placer_fixture p(local, {"far"});
    p.report("far", 0, 1);
    for (const auto& id : local)
        p.report(id, 0, 1.5);
    EXPECT_NE(p.chosen(), "far");
    for (const auto& id : local)
        p.report(id, 0, 4);
    EXPECT_EQ(p.chosen(), "far");
}

// In an overload a queue makes all requests late, while refused callers retry.
TEST(Placement, RequestsQueueAtATargetOnlyIfTheyAreStillDoneInTime)
{
    placer_fixture p({"a"});
    p.report("a", 2, 1);
    EXPECT_TRUE(std::holds_alternative<no_capacity>(p.choose({false, 0ms})));
    EXPECT_TRUE(std::holds_alternative<no_capacity>(p.choose({false, 200ms})));
    EXPECT_TRUE(std::holds_alternative<place_on>(p.choose({false, 400ms})));
    p.report("a", 4, 1);
    EXPECT_TRUE(std::holds_alternative<no_capacity>(p.choose({false, 10s})));
}

// When the load nearly fills all targets, one more request on a target makes
// both requests there late.
TEST(Placement, ARequestThatWouldBeLateDoesNotSlowAnotherDown)
{
    placer_fixture p({"a", "b"});
    p.report("a", 1, 2);
    p.report("b", 1, 2);
    EXPECT_TRUE(std::holds_alternative<no_capacity>(p.choose({false, 250ms})));
    p.report("b", 1, 1);
    EXPECT_TRUE(std::holds_alternative<place_on>(p.choose({false, 250ms})));
    p.report("a", 0, 4);
    p.report("b", 1, 2);
    EXPECT_EQ(p.chosen(), "a");
}

// A failing target always has free slots, since it responds at once.
TEST(Placement, ATargetThatAlwaysFailsGetsNothingWhileOthersAreFull)
{
    placer_fixture p({"a", "b"});
    for (int i = 0; i < 20; ++i) {
        p.placer.find({"a"})->on_sent(start);
        p.placer.find({"a"})->on_ended(health_signal::failed, start);
    }
    p.report("a", 0, 1);
    p.report("b", 4, 1);
    EXPECT_TRUE(std::holds_alternative<no_capacity>(p.choose({false, 400ms})));
    p.report("b", 0, 1);
    EXPECT_EQ(p.chosen(), "b");
    // It is tried again some seconds later.
    p.report("b", 4, 1, start + 20s);
    p.report("a", 0, 1, start + 20s);
    EXPECT_EQ(p.chosen(start + 20s), "a");
}

// Of four slots, three busy ones have more throughput than four, because the
// target slows down.
TEST(Placement, TheLastSlotStaysFreeWhereItSlowsDownMoreThanItCarries)
{
    placer_fixture p({"a"});
    auto big = make_target("a", "d1");
    big.slots = 4;
    p.catalog.put(big);
    p.placer.update(p.catalog, p.rates, start);
    p.report("a", 2, 1);
    EXPECT_EQ(p.chosen(), "a");
    p.report("a", 3, 1);
    EXPECT_TRUE(std::holds_alternative<no_capacity>(p.choose({false, 10s})));
}

// In an overload only slow machines have free slots: a request that is late
// there takes the slot of one that could still be in time.
TEST(Placement, WithLittleRoomARequestThatWouldBeLateIsNotPlaced)
{
    placer_fixture p({"a", "b", "c"});
    p.report("a", 2, 1);
    p.report("b", 2, 1);
    p.report("c", 0, 4);
    EXPECT_TRUE(std::holds_alternative<no_capacity>(p.choose({false, 150ms})));
    EXPECT_TRUE(std::holds_alternative<place_on>(p.choose({false, 290ms})));
    p.report("b", 0, 4);
    EXPECT_TRUE(std::holds_alternative<place_on>(p.choose({false, 150ms})));
}

TEST(Placement, ADrainingTargetIsAskedAgainButGetsNothing)
{
    placer_fixture p({"a", "b"});
    p.placer.find({"a"})->on_draining(true);
    p.report("a", 0, 1);
    p.report("b", 0, 3);
    EXPECT_EQ(p.chosen(), "b");
    const auto later = p.choose({true, 0ms}, start + 2s);
    ASSERT_TRUE(std::holds_alternative<probe_first>(later));
    EXPECT_EQ(std::get<probe_first>(later).targets.size(), 2u);
    p.placer.find({"a"})->on_draining(false);
    p.report("a", 0, 1, start + 2s);
    EXPECT_EQ(p.chosen(start + 2s), "a");
}

TEST(Placement, AColdTargetWithSlotsGetsThemFromItsFirstOwnerOnly)
{
    placer_fixture p({"a"});
    auto small = make_target("a", "d1");
    small.cold_slots = 1;
    p.catalog.put(small);
    p.placer.update(p.catalog, p.rates, start);
    auto* status = p.placer.find({"a"});
    status->on_cold(24h, start - 2s);
    p.report("a", 0, 1);
    EXPECT_EQ(p.chosen(), "a");
    status->on_sent(start);
    EXPECT_EQ(p.chosen(), "");
    status->on_ended(health_signal::good, start);
    // An old report does not show whether requests of others run there.
    EXPECT_EQ(p.chosen(start + 1s), "");
    p.placer.set_members({{{"other"}, {"d1"}}});
    p.report("a", 0, 1);
    EXPECT_EQ(p.chosen(), "");
}

// Requests that other instances sent before they knew still run there, slowly,
// and may be missing from the report.
TEST(Placement, ATargetThatHasJustTurnedColdFinishesWhatItHasFirst)
{
    placer_fixture p({"a"});
    auto small = make_target("a", "d1");
    small.cold_slots = 1;
    p.catalog.put(small);
    p.placer.update(p.catalog, p.rates, start);
    p.placer.find({"a"})->on_cold(24h, start);
    for (const auto since : {0ms, 300ms, 900ms}) {
        p.report("a", 0, 1, start + since);
        p.placer.find({"a"})->on_cold(24h, start + since);
        EXPECT_EQ(p.chosen(start + since), "");
    }
    p.report("a", 0, 1, start + 1s);
    EXPECT_EQ(p.chosen(start + 1s), "a");
}

TEST(Placement, ATargetThatHasAskedForAPauseIsNeitherUsedNorProbed)
{
    placer_fixture p({"a", "b"});
    p.report("a", 0, 1);
    p.report("b", 0, 4);
    p.placer.find({"a"})->on_pause(2s, start);
    EXPECT_EQ(p.chosen(), "b");
    const auto later = p.choose({true, 0ms}, start + 1s);
    ASSERT_TRUE(std::holds_alternative<probe_first>(later));
    EXPECT_EQ(std::get<probe_first>(later).targets,
              std::vector<target_id>{{"b"}});
    // A shorter pause does not end the longer one.
    p.placer.find({"a"})->on_pause(100ms, start + 1s);
    p.report("b", 0, 4, start + 1900ms);
    EXPECT_EQ(p.chosen(start + 1900ms), "b");
    p.report("a", 0, 1, start + 2s);
    EXPECT_EQ(p.chosen(start + 2s), "a");
}

TEST(Placement, WhileAllPauseItTellsWhenTheFirstIsBack)
{
    placer_fixture p({"a", "b"});
    p.placer.find({"a"})->on_pause(3s, start);
    EXPECT_TRUE(std::holds_alternative<place_on>(p.choose()));
    p.placer.find({"b"})->on_pause(2s, start);
    const auto decision = p.choose({true, 0ms}, start + 500ms);
    ASSERT_TRUE(std::holds_alternative<no_target>(decision));
    EXPECT_EQ(std::get<no_target>(decision).until_usable, 1500ms);
}

// The target's row expires and is written again during the pause.
TEST(Placement, APauseOutlastsTheRow)
{
    placer_fixture p({"a", "b"});
    p.placer.find({"a"})->on_pause(2s, start);
    p.catalog.remove({"a"}, start);
    p.placer.update(p.catalog, p.rates, start);
    p.catalog.put(make_target("a", "d1"));
    p.placer.update(p.catalog, p.rates, start + 1s);
    p.report("b", 2, 4, start + 1s);
    EXPECT_NE(p.chosen(start + 1s), "a");
}

TEST(PauseRequest, TakesSecondsWithAFraction)
{
    EXPECT_EQ(std::get<duration>(parse_pause("2")), 2s);
    EXPECT_EQ(std::get<duration>(parse_pause("0.25")), 250ms);
    EXPECT_EQ(std::get<duration>(parse_pause("0")), 0s);
    EXPECT_EQ(std::get<duration>(parse_pause("-0")), 0s);
    EXPECT_EQ(std::get<duration>(parse_pause("3600")), longest_pause);
}

TEST(PauseRequest, RefusesWhatMakesNoSenseWithAReason)
{
    const auto why = [](std::string_view text) {
        return std::get<pause_refusal>(parse_pause(text));
    };
    for (const auto* text :
         {"", " ", "soon", "1e3", "nan", "inf", "0x10", "1.2.3", ".", "1s",
          "Fri, 04 Dec 2026 10:00:00 GMT"})
        EXPECT_EQ(why(text), pause_refusal::not_seconds) << text;
    EXPECT_EQ(why("-1"), pause_refusal::negative);
    for (const auto* text : {"3601", "999999999", "99999999999999999999"})
        EXPECT_EQ(why(text), pause_refusal::too_long) << text;
}

RC_GTEST_PROP(PauseRequest, IsAPauseWithinBoundsOrARefusalForAnyBytes,
              (const std::string& text))
{
    const auto parsed = parse_pause(text);
    if (const auto* pause = std::get_if<duration>(&parsed))
        RC_ASSERT(*pause >= duration::zero() && *pause <= longest_pause);
}

TEST(RateLimitRequest, TakesADecimalNumberOfRequestsASecond)
{
    EXPECT_EQ(std::get<double>(parse_rate_limit("2.8")), 2.8);
    EXPECT_EQ(std::get<double>(parse_rate_limit("40")), 40);
    EXPECT_EQ(std::get<double>(parse_rate_limit(".5")), 0.5);
    EXPECT_EQ(std::get<double>(parse_rate_limit("0")), 0);
    EXPECT_FALSE(std::signbit(std::get<double>(parse_rate_limit("-0"))));
    const auto tiny = "0." + std::string(400, '0') + "1";
    EXPECT_EQ(std::get<double>(parse_rate_limit(tiny)), 0);
}

TEST(RateLimitRequest, RefusesWhatMakesNoSenseWithAReason)
{
    const auto why = [](std::string_view text) {
        return std::get<rate_limit_refusal>(parse_rate_limit(text));
    };
    for (const auto* text : {"", " ", "few", "1e3", "nan", "inf", "0x10",
                             "1.2.3", ".", "2/s", "2,8", "+1", "--1"})
        EXPECT_EQ(why(text), rate_limit_refusal::not_decimal) << text;
    EXPECT_EQ(why("-0.1"), rate_limit_refusal::negative);
    for (const auto& text : {std::string("1000001"), std::string(400, '9')})
        EXPECT_EQ(why(text), rate_limit_refusal::too_high) << text;
}

RC_GTEST_PROP(RateLimitRequest, IsWithinBoundsOrARefusalForAnyBytes,
              (const std::string& text))
{
    const auto parsed = parse_rate_limit(text);
    if (const auto* per_second = std::get_if<double>(&parsed))
        RC_ASSERT(*per_second >= 0 && *per_second <= highest_rate_limit);
}

TEST(Placement, AFailingTargetIsAvoidedAndTriedAgainLater)
{
    placer_fixture p({"a", "b"});
    p.report("a", 0, 1);
    p.report("b", 0, 1.2);
    EXPECT_EQ(p.chosen(), "a");
    for (int i = 0; i < 2; ++i) {
        p.placer.find({"a"})->on_sent(start);
        p.placer.find({"a"})->on_ended(health_signal::failed, start);
    }
    EXPECT_EQ(p.chosen(), "b");
    p.report("a", 0, 1, start + 20s);
    p.report("b", 0, 1.2, start + 20s);
    EXPECT_EQ(p.chosen(start + 20s), "a");
}

TEST(Placement, AnUnreachableTargetGetsNothingUntilItAnswersAProbe)
{
    placer_fixture p({"a"});
    p.report("a", 0, 1);
    p.placer.find({"a"})->on_probe_failed(start);
    EXPECT_TRUE(std::holds_alternative<no_target>(p.choose()));
    EXPECT_TRUE(std::holds_alternative<probe_first>(p.choose({true, 0ms})));
    p.report("a", 0, 1);
    EXPECT_EQ(p.chosen(), "a");
}

// When the targets of a data centre stop responding, a request that is sent to
// one of them waits for a connection for its whole latency objective.
TEST(Placement, ATargetThatDoesNotAnswerItsProbeIsNotChosen)
{
    placer_fixture p({"silent", "live"});
    p.report("live", 0, 4, start);
    p.placer.find({"silent"})->on_probe_sent(start);
    EXPECT_EQ(p.chosen(start + 8ms), "live");
    p.report("silent", 0, 1, start + 9ms);
    EXPECT_EQ(p.chosen(start + 9ms), "silent");
}

TEST(Placement, LeavingAndEvacuatedTargetsAreNotChosen)
{
    placer_fixture p({"a"}, {"b"});
    p.report("a", 0, 1);
    p.report("b", 0, 1);
    p.catalog.set_evacuated({{"d2"}});
    auto leaving = make_target("a", "d1");
    leaving.draining = true;
    leaving.sequence = 1;
    p.catalog.put(leaving);
    p.placer.update(p.catalog, p.rates, start);
    EXPECT_TRUE(std::holds_alternative<no_target>(p.choose()));
}

// Instances disagree on the live members, one of them restarts, and all have
// more requests than a cold target can handle.
RC_GTEST_PROP(Placement, AColdTargetGetsNoMoreThanItBears, ())
{
    constexpr double rate = 3.4;
    constexpr double bound = rate * 1.5 + 5;
    std::vector<owner_candidate> all;
    for (int i = 0; i < 6; ++i)
        all.push_back(
            {{"m" + std::to_string(i)}, {"d" + std::to_string(i % 3)}});
    std::vector<rate_owner_view> views;
    for (int i = 0; i < 6; ++i) {
        auto view = all;
        // Each instance may miss one other, as while a failure becomes known.
        const auto missing = *rc::gen::inRange<std::size_t>(0, 7);
        if (missing < view.size() && missing != static_cast<std::size_t>(i))
            view.erase(view.begin() + static_cast<std::ptrdiff_t>(missing));
        views.push_back({all[static_cast<std::size_t>(i)].name, view});
    }
    std::vector<rate_share> shares(6);
    const int restarted = *rc::gen::inRange(0, 6);
    std::vector<time_point> sent;
    for (int tick = 0; tick < 500; ++tick) { // of 10 ms
        const time_point now = start + tick * 10ms;
        if (tick == 250)
            shares[static_cast<std::size_t>(restarted)] = {};
        for (std::size_t i = 0; i < 6; ++i) {
            const auto send_at =
                shares[i].next_send_time({"t"}, {"d1"}, rate, views[i], now);
            if (!send_at || *send_at > now)
                continue;
            shares[i].start_interval(now);
            sent.push_back(now);
        }
    }
    for (const auto& from : sent) {
        const auto in_second = std::ranges::count_if(
            sent, [&](auto at) { return at >= from && at < from + 1s; });
        RC_ASSERT(static_cast<double>(in_second) <= bound);
    }
}

/// All instances of a data centre start again within a second, each becomes
/// ready shortly after its start, and all have more requests than a target that
/// is cold there can handle.
/// \return the most that it gets in one second
std::ptrdiff_t most_in_a_second_while_all_start(std::uint64_t seed, double rate,
                                                std::size_t size)
{
    random_engine random(seed);
    struct starting
    {
        time_point at;
        rate_share share;
        rate_owner_view view;
    };
    std::vector<starting> instances(size);
    for (std::size_t i = 0; i < size; ++i) {
        instances[i].at = start + scaled(1s, draw_share(random));
        instances[i].view.self = {"m" + std::to_string(i)};
        instances[i].view.joining_until =
            instances[i].at + detail::target_admission::joining_time;
    }
    std::vector<time_point> sent;
    for (auto now = start; now < start + 6s; now += 10ms) {
        for (auto& each : instances) {
            if (now < each.at + 200ms)
                continue;
            std::vector<owner_candidate> seen;
            for (const auto& other : instances)
                if (&other == &each || now >= other.at + 250ms)
                    seen.push_back({other.view.self, {"d1"}});
            if (seen.size() != each.view.members.size())
                ++each.view.version;
            each.view.members = std::move(seen);
            const auto send_at =
                each.share.next_send_time({"t"}, {"d1"}, rate, each.view, now);
            if (!send_at || *send_at > now)
                continue;
            each.share.start_interval(now);
            sent.push_back(now);
        }
    }
    std::ptrdiff_t most = 0;
    for (const auto& from : sent)
        most = std::max(most, std::ranges::count_if(sent, [&](auto at) {
                            return at >= from && at < from + 1s;
                        }));
    return most;
}

// Each of them was the owner of all cold targets while the others were not yet
// ready, and sent at once.
TEST(Placement, AColdTargetIsNotUsedByEachInstanceThatStarts)
{
    for (const std::size_t size : {2u, 6u, 40u, 110u})
        for (const double rate : {1.0, 3.27, 9.0})
            for (std::uint64_t seed = 1; seed <= 5; ++seed)
                EXPECT_LE(static_cast<double>(most_in_a_second_while_all_start(
                              seed, rate, size)),
                          rate * 1.5 + 5)
                    << size << " instances, rate " << rate;
}

TEST(Placement, ANewcomerIsUsedByItsOwnersAsSoonAsItMayBe)
{
    placer_fixture p({"old"});
    auto cold = make_target("new", "d1");
    cold.cold_left = 3s;
    p.catalog.put(cold);
    p.placer.update(p.catalog, p.rates, start);
    p.report("old", 0, 1);
    p.report("new", 0, 1);
    EXPECT_EQ(p.chosen(), "new");
    p.placer.find({"new"})->on_sent(start);
    EXPECT_EQ(p.chosen(), "old");
}

TEST(Placement, OwnersOfARateAreOfTheDataCentreWhereThereAreSome)
{
    const std::vector<owner_candidate> members{
        {{"a"}, {"d1"}}, {{"b"}, {"d2"}}, {{"c"}, {"d2"}}, {{"d"}, {"d2"}}};
    for (const auto& target : {"t1", "t2", "t3"}) {
        const auto owners = rate_owners({target}, {"d2"}, members, 2);
        ASSERT_EQ(owners.size(), 2u);
        for (const auto& owner : owners)
            EXPECT_NE(owner.value, "a");
    }
}

// A target's machine slows down in the middle of a request.
TEST(AttemptProgress, ASlowdownIsSeenWhileTheRequestRuns)
{
    attempt_progress progress(120ms, 1, start);
    EXPECT_EQ(progress.remaining(start), 120ms);
    EXPECT_EQ(progress.remaining(start + 60ms), 60ms);
    progress.on_factor(4, start + 60ms);
    EXPECT_GT(progress.remaining(start + 60ms), 180ms);
    EXPECT_TRUE(
        is_hedge_worthwhile(progress.remaining(start + 60ms), 130ms, 200ms));
}

TEST(AttemptProgress, NoHedgeWhereTheAnswerIsInTimeOrANewOneIsNoSooner)
{
    EXPECT_FALSE(is_hedge_worthwhile(100ms, 130ms, 200ms));
    EXPECT_FALSE(is_hedge_worthwhile(200ms, 130ms, 100ms));
    EXPECT_TRUE(is_hedge_worthwhile(300ms, 130ms, 100ms));
}

TEST(TargetStatus, OthersRequestsAreThoseThatTheReportHasBeyondOwn)
{
    target_status status;
    status.on_sent(start);
    status.on_report({2, 1, 2, 1}, true, start);
    EXPECT_NEAR(status.load(start), 3, 0.01);
    status.on_ended(health_signal::good, start);
    EXPECT_NEAR(status.load(start), 2, 0.01);
    EXPECT_LT(status.load(start + 2s), 0.1);
}

TEST(Placement, AConstraintAdmitsOnlyTargetsOfItsVersions)
{
    placer_fixture fixture({});
    auto& placer = fixture.placer;
    fixture.catalog.put(with_version(make_target("old", "d1"), "v1"));
    fixture.catalog.put(with_version(make_target("bare", "d1"), ""));
    fixture.catalog.put(with_version(make_target("new", "d1"), "v2"));
    placer.update(fixture.catalog, fixture.rates, start);
    const version_constraint only{"v2", false};
    const version_constraint others{"v2", true};
    EXPECT_EQ(placer.usable_targets(service, only), 1U);
    EXPECT_EQ(placer.usable_targets(service, others), 2U);
    placement_request request;
    request.service = service;
    request.expected_work = 120ms;
    const auto choose = [&] {
        return placer.choose(request, {false, 1s}, start);
    };
    for (int i = 0; i < 50; ++i) {
        request.version = only;
        const auto at_new = choose();
        ASSERT_TRUE(std::holds_alternative<place_on>(at_new));
        EXPECT_EQ(std::get<place_on>(at_new).target.value, "new");
        request.version = others;
        const auto at_other = choose();
        ASSERT_TRUE(std::holds_alternative<place_on>(at_other));
        EXPECT_NE(std::get<place_on>(at_other).target.value, "new");
    }
    placer.find({"old"})->on_sent(start);
    EXPECT_EQ(placer.in_flight(service, others), 1);
    EXPECT_EQ(placer.in_flight(service, only), 0);
    request.version = version_constraint{"v3", false};
    EXPECT_TRUE(std::holds_alternative<no_target>(choose()));
}

// A probe of the other version tells nothing of those that may be chosen.
TEST(Placement, OnlyTargetsThatAConstraintAdmitsAreProbed)
{
    placer_fixture fixture({});
    fixture.catalog.put(with_version(make_target("old", "d1"), "v1"));
    fixture.catalog.put(with_version(make_target("new", "d1"), "v2"));
    fixture.placer.update(fixture.catalog, fixture.rates, start);
    placement_request request;
    request.service = service;
    request.expected_work = 120ms;
    request.version = version_constraint{"v2", false};
    const auto decision = fixture.placer.choose(request, {true, 1s}, start);
    ASSERT_TRUE(std::holds_alternative<probe_first>(decision));
    EXPECT_EQ(std::get<probe_first>(decision).targets,
              std::vector<target_id>{{"new"}});
}

// In a roll-out the idle targets of the other version are no room for it.
TEST(Placement, ARequestLeavesWhenTheTargetsHereOfItsVersionAreFull)
{
    placer_fixture fixture({}, {"far"});
    for (int i = 0; i < 8; ++i) {
        const auto number = std::to_string(i);
        fixture.catalog.put(with_version(make_target("o" + number, "d1"), ""));
        fixture.catalog.put(
            with_version(make_target("n" + number, "d1"), "v2"));
    }
    fixture.placer.update(fixture.catalog, fixture.rates, start);
    fixture.report("far", 0, 1);
    for (int i = 0; i < 8; ++i) {
        fixture.report("o" + std::to_string(i), 1, 1);
        fixture.report("n" + std::to_string(i), 0, 1);
    }
    placement_request request;
    request.service = service;
    request.expected_work = 120ms;
    request.version = version_constraint{"v2", true};
    const auto decision = fixture.placer.choose(request, {false, 300ms}, start);
    ASSERT_TRUE(std::holds_alternative<place_on>(decision));
    EXPECT_EQ(std::get<place_on>(decision).target.value, "far");
    EXPECT_EQ(std::get<place_on>(decision).left_because,
              leaving_cause::short_here);
}

} // namespace
