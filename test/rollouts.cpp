#include "rollout_replay.hpp"

#include <vanillapost/base.hpp>
#include <vanillapost/rollouts.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace vanillapost;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t order_revision = 7;
const service_id search{"search"};

entry_incarnation instance_name(int number)
{
    return {entry_id{"edge-" + std::to_string(number)}, "1"};
}

rollout_order make_order(duration time_limit = 60s)
{
    return {search, "v2", time_limit, order_revision};
}

rollout_evidence make_evidence(int number)
{
    return {instance_name(number), search, order_revision, time_point()};
}

/// Records one answer drawn by RapidCheck.
void record_any(rollout_evidence& evidence)
{
    const auto route = *rc::gen::inRange(0, 8);
    const auto target = *rc::gen::inRange(0, 20);
    const auto side =
        *rc::gen::element(version_side::current, version_side::target);
    const auto latency = std::chrono::milliseconds(*rc::gen::inRange(0, 9000));
    evidence.on_sent(side);
    evidence.record("route-" + std::to_string(route), side,
                    target_id{"target-" + std::to_string(target)},
                    *rc::gen::arbitrary<bool>(), latency);
}

/// Reports of three instances, each of which has recorded more in each.
std::vector<std::vector<evidence_report>> any_reports()
{
    std::vector<std::vector<evidence_report>> reports;
    for (int i = 1; i <= 3; ++i) {
        auto evidence = make_evidence(i);
        auto& own = reports.emplace_back();
        const auto count = *rc::gen::inRange(1, 4);
        for (int k = 0; k < count; ++k) {
            const auto answers = *rc::gen::inRange(0, 10);
            for (int a = 0; a < answers; ++a)
                record_any(evidence);
            own.push_back(evidence.own_report(0, 0, time_point()));
        }
    }
    return reports;
}

std::uint64_t answers_in(const route_evidence_map& routes)
{
    std::uint64_t sum = 0;
    for (const auto& [route, evidence] : routes)
        sum += evidence.current.answers() + evidence.all_target().answers();
    return sum;
}

rollout_directive directive_of(rollout_phase phase, double share,
                               std::uint64_t version = 1)
{
    return {order_revision, phase, share, version};
}

constexpr usable_versions both{true, true};

/// What a decider sees of a service with a steady rate that all goes well.
rollout_view steady_view(duration age, const rollout_plan& plan,
                         std::uint64_t& sent_to_target)
{
    constexpr std::uint64_t per_step = 50;
    sent_to_target +=
        static_cast<std::uint64_t>(per_step * plan.directive().target_share);
    rollout_view view;
    view.order_age = age;
    view.verdict = good_so_far{};
    view.totals.sent_to_target = sent_to_target;
    view.totals.sent_to_current =
        per_step * static_cast<std::uint64_t>(age / 250ms) - sent_to_target;
    view.reach = {6, 6, 6, 0};
    view.target_usable = true;
    view.stored = rollout_state::serving;
    return view;
}

bool writes(const rollout_step& step, rollout_state state)
{
    return step == rollout_step(write_state{state});
}

TEST(VersionCounts, BucketsAgreeWithTheirBounds)
{
    EXPECT_EQ(latency_bucket(0us), 0U);
    EXPECT_EQ(latency_bucket(duration::max()), latency_bucket_count - 1);
    for (std::size_t i = 0; i + 1 < latency_bucket_count; ++i) {
        EXPECT_EQ(latency_bucket(latency_bound(i)), i);
        EXPECT_EQ(latency_bucket(latency_bound(i) + 1us), i + 1);
    }
}

RC_GTEST_PROP(RolloutEvidence, MergesInAnyOrderTwiceAndLate, ())
{
    const auto reports = any_reports();
    std::vector<evidence_report> messages;
    for (const auto& own : reports) {
        messages.insert(messages.end(), own.begin(), own.end());
        messages.push_back(own.front());
    }
    const auto order = *rc::gen::container<std::vector<std::uint32_t>>(
        messages.size(), rc::gen::arbitrary<std::uint32_t>());
    std::vector<std::size_t> sequence(messages.size());
    for (std::size_t i = 0; i < sequence.size(); ++i)
        sequence[i] = i;
    std::ranges::sort(sequence, {}, [&](std::size_t i) { return order[i]; });

    auto shuffled = make_evidence(0);
    for (const auto i : sequence)
        shuffled.merge(messages[i], time_point());
    auto last_only = make_evidence(0);
    std::uint64_t answers = 0;
    for (const auto& own : reports) {
        last_only.merge(own.back(), time_point());
        answers += answers_in(own.back().routes);
    }
    RC_ASSERT(shuffled.totals() == last_only.totals());
    RC_ASSERT(answers_in(shuffled.totals().routes) == answers);
    RC_ASSERT(shuffled.totals().sent() == answers);
}

RC_GTEST_PROP(RolloutEvidence, ReportsKeepTheirMeaningAsMessages, ())
{
    for (const auto& own : any_reports())
        for (const auto& report : own) {
            const auto bytes = nlohmann::json::to_cbor(to_json(report));
            const auto read = nlohmann::json::from_cbor(bytes);
            RC_ASSERT(parse_evidence_report(read) == report);
        }
}

RC_GTEST_PROP(RolloutEvidence, RefusesWhatIsNoReport, ())
{
    auto message = to_json(any_reports().front().back());
    const auto place = *rc::gen::inRange<std::size_t>(0, message.size());
    message[place] = *rc::gen::element<nlohmann::json>(
        -1, 1e300, "", "\n", nullptr, nlohmann::json::array({1}),
        nlohmann::json::object(),
        nlohmann::json::array({{"a", 1, 2, 3, 4, 5}}));
    RC_ASSERT_THROWS_AS(parse_evidence_report(message), error);
}

TEST(RolloutEvidence, ReportOfABusyInstanceFitsADatagram)
{
    constexpr std::size_t max_bytes = 1000;
    auto evidence = make_evidence(17);
    random_engine random(1);
    for (int i = 0; i < 30000; ++i) {
        const auto route = "rental-booking-" + std::to_string(random(6));
        const auto side =
            random(4) == 0 ? version_side::target : version_side::current;
        const target_id target{"target-" + std::to_string(random(100))};
        const auto latency = scaled(100ms, 0.5 + 2 * draw_share(random));
        evidence.on_sent(side);
        evidence.record(route, side, target, random(10) != 0, latency);
    }
    const auto report = evidence.own_report(40, 12, time_point() + 40s);
    EXPECT_LE(report.routes.size(), max_evidence_routes + 1);
    EXPECT_LE(nlohmann::json::to_cbor(to_json(report)).size(), max_bytes);
}

TEST(RolloutEvidence, CountsOnlyReportsOfItsOrder)
{
    rollout_evidence other_order(instance_name(1), search, order_revision + 1,
                                 time_point());
    rollout_evidence other_service(instance_name(2), service_id{"pay"},
                                   order_revision, time_point());
    auto evidence = make_evidence(0);
    for (auto* other : {&other_order, &other_service, &evidence}) {
        other->on_sent(version_side::target);
        evidence.merge(other->own_report(0, 0, time_point()), time_point());
    }
    EXPECT_EQ(evidence.totals().sent(), 1U);
}

TEST(RolloutEvidence, KeepsWhatAnInstanceReportedBeforeItsRestart)
{
    auto evidence = make_evidence(0);
    for (const auto* incarnation : {"1", "2"}) {
        rollout_evidence other({entry_id{"edge-1"}, incarnation}, search,
                               order_revision, time_point());
        other.on_sent(version_side::target);
        evidence.merge(other.own_report(0, 0, time_point()), time_point());
    }
    EXPECT_EQ(evidence.totals().sent_to_target, 2U);
}

TEST(RolloutEvidence, TakesTheOrdersAgeFromThoseThatKnowItLonger)
{
    const auto start = time_point() + 100s;
    rollout_evidence earlier(instance_name(1), search, order_revision, start);
    rollout_evidence later(instance_name(2), search, order_revision,
                           start + 20s);
    later.merge(earlier.own_report(0, 0, start + 21s), start + 21s);
    EXPECT_EQ(later.order_age(start + 22s), 22s);
}

TEST(RolloutEvidence, TellsHowFarADirectiveHasSpread)
{
    auto evidence = make_evidence(0);
    const std::vector live{instance_name(1), instance_name(2),
                           instance_name(3)};
    evidence.merge(make_evidence(1).own_report(3, 5, time_point()),
                   time_point());
    evidence.merge(make_evidence(2).own_report(4, 4, time_point()),
                   time_point());
    const auto reach = evidence.reach(live, 5, 10);
    EXPECT_EQ(reach.live, 4U);
    EXPECT_EQ(reach.reported, 3U);
    EXPECT_EQ(reach.seen, 2U);
    EXPECT_EQ(reach.in_flight_at_current, 17U);
}

RC_GTEST_PROP(RolloutDirective, OneOfTwoReplacesTheOther, ())
{
    const auto any = [] {
        return rollout_directive{
            *rc::gen::inRange<std::uint64_t>(1, 3),
            static_cast<rollout_phase>(*rc::gen::inRange(0, 6)),
            *rc::gen::element(0.0, 0.5, 1.0),
            *rc::gen::inRange<std::uint64_t>(0, 3)};
    };
    const auto a = any();
    const auto b = any();
    const auto c = any();
    RC_ASSERT(!(replaces(a, b) && replaces(b, a)));
    RC_ASSERT(!(replaces(a, b) && replaces(b, c)) || replaces(a, c));
    RC_ASSERT(parse_rollout_directive(to_json(a)) == a);
}

TEST(RolloutDirective, RefusesWhatIsNone)
{
    using nlohmann::json;
    for (const auto& message :
         {json(), json::array({1, 2, 0.5}), json::array({1, 6, 0.5, 1}),
          json::array({1, 2, 1.5, 1}), json::array({-1, 2, 0.5, 1}),
          json::array({1, "x", 0.5, 1}), json::array({1, 2, nullptr, 1})})
        EXPECT_THROW(parse_rollout_directive(message), error) << message;
}

RC_GTEST_PROP(VersionSplit, KeepsToTheShareWithinARequest, ())
{
    random_engine random(*rc::gen::arbitrary<std::uint64_t>());
    version_split split(make_order(), {}, random);
    const double share = *rc::gen::inRange(0, 100) / 100.0;
    split.follow(directive_of(rollout_phase::ramping, share), time_point());
    const auto count = *rc::gen::inRange(1, 500);
    int target = 0;
    for (int i = 1; i <= count; ++i) {
        target += split.pick(both, time_point()) == version_side::target;
        RC_ASSERT(target <= share * i + 1);
        RC_ASSERT(target >= share * i - 1);
    }
}

TEST(VersionSplit, ManyInstancesWithFewRequestsKeepToTheSlackTogether)
{
    constexpr int instances = 528;
    constexpr int requests = 7;
    constexpr double share = 0.02;
    const rollout_limits limits;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        random_engine random(seed);
        int target = 0;
        for (int i = 0; i < instances; ++i) {
            version_split split(make_order(), limits, random);
            split.follow(directive_of(rollout_phase::canary, share),
                         time_point());
            for (int k = 0; k < requests; ++k)
                target +=
                    split.pick(both, time_point()) == version_side::target;
        }
        EXPECT_LE(target, share * instances * requests + limits.expose_slack);
    }
}

TEST(VersionSplit, GivesTheTargetVersionNothingBeforeTheFirstDirective)
{
    random_engine random(1);
    version_split split(make_order(), {}, random);
    auto other = directive_of(rollout_phase::switching, 1);
    other.order_revision += 1;
    split.follow(other, time_point());
    for (int i = 0; i < 1000; ++i)
        EXPECT_EQ(split.pick(both, time_point()), version_side::current);
}

TEST(VersionSplit, FallsBackToTheCanaryShareWithoutDirectives)
{
    random_engine random(1);
    const rollout_limits limits;
    version_split split(make_order(), limits, random);
    const auto switching = directive_of(rollout_phase::switching, 1);
    split.follow(switching, time_point());
    EXPECT_EQ(split.target_share(time_point() + directive_lifetime), 1);
    const auto later = time_point() + directive_lifetime + 1us;
    EXPECT_EQ(split.target_share(later), canary_share(limits));
    split.follow(switching, later);
    EXPECT_EQ(split.target_share(later), 1);
}

TEST(VersionSplit, StaysStoppedOrFinishedWithoutDirectives)
{
    random_engine random(1);
    const auto later = time_point() + 1h;
    version_split split(make_order(), {}, random);
    split.follow(directive_of(rollout_phase::stopped, 0), time_point());
    split.follow(directive_of(rollout_phase::switching, 1, 9), time_point());
    EXPECT_EQ(split.target_share(later), 0);
    split.follow(directive_of(rollout_phase::finished, 1), time_point());
    EXPECT_EQ(split.pick({false, false}, later), version_side::target);
}

TEST(VersionSplit, DoesNotMakeUpForATimeWithoutTargets)
{
    random_engine random(1);
    version_split split(make_order(), {}, random);
    split.follow(directive_of(rollout_phase::ramping, 0.5), time_point());
    for (int i = 0; i < 1000; ++i)
        split.pick({true, false}, time_point());
    int target = 0;
    for (int i = 0; i < 10; ++i)
        target += split.pick(both, time_point()) == version_side::target;
    EXPECT_LE(target, 6);
    // Lost targets of the current version don't raise the share either.
    target = 0;
    for (int i = 0; i < 10; ++i)
        target +=
            split.pick({false, true}, time_point()) == version_side::target;
    EXPECT_LE(target, 6);
}

TEST(RolloutPlan, CompletesAGoodVersionBeforeTheDeadline)
{
    rollout_plan plan(make_order(), {});
    std::uint64_t sent = 0;
    double highest = 0;
    for (duration age = 0s; age < 60s; age += 250ms) {
        const auto step = plan.update(steady_view(age, plan, sent));
        highest = std::max(highest, plan.directive().target_share);
        if (writes(step, rollout_state::completed)) {
            EXPECT_EQ(highest, 1);
            return;
        }
        EXPECT_EQ(step, rollout_step(stay{}));
    }
    FAIL() << "not completed";
}

TEST(RolloutPlan, WaitsForTheCurrentVersionsRequestsWhileThereIsTime)
{
    rollout_plan plan(make_order(), {});
    std::uint64_t sent = 0;
    for (duration age = 0s; age < 60s; age += 250ms) {
        auto view = steady_view(age, plan, sent);
        view.reach.in_flight_at_current = 1;
        if (!writes(plan.update(view), rollout_state::completed))
            continue;
        EXPECT_GE(age, 59s);
        return;
    }
    FAIL() << "not completed";
}

TEST(RolloutPlan, StopsABadVersionAtOnce)
{
    rollout_plan plan(make_order(), {});
    std::uint64_t sent = 0;
    plan.update(steady_view(1s, plan, sent));
    EXPECT_GT(plan.directive().target_share, 0);
    auto view = steady_view(2s, plan, sent);
    view.verdict = bad_version{"lookup", "test"};
    EXPECT_TRUE(writes(plan.update(view), rollout_state::rolled_back));
    EXPECT_EQ(plan.directive().phase, rollout_phase::stopped);
    EXPECT_EQ(plan.directive().target_share, 0);
    // Asked for until the store holds it, also if the verdict changes.
    view.verdict = good_so_far{};
    EXPECT_TRUE(writes(plan.update(view), rollout_state::rolled_back));
    view.stored = rollout_state::rolled_back;
    EXPECT_EQ(plan.update(view), rollout_step(stay{}));
    EXPECT_EQ(plan.directive().phase, rollout_phase::finished);
}

TEST(RolloutPlan, DoesNotContradictTheStore)
{
    rollout_plan plan(make_order(), {});
    std::uint64_t sent = 0;
    auto view = steady_view(1s, plan, sent);
    view.stored = rollout_state::completed;
    view.verdict = bad_version{"lookup", "test"};
    EXPECT_EQ(plan.update(view), rollout_step(stay{}));
    EXPECT_EQ(plan.directive().target_share, 1);
}

TEST(RolloutPlan, GivesNothingToAVersionWithoutTargets)
{
    rollout_plan plan(make_order(), {});
    std::uint64_t sent = 0;
    auto view = steady_view(1s, plan, sent);
    view.target_usable = false;
    EXPECT_EQ(plan.update(view), rollout_step(stay{}));
    EXPECT_EQ(plan.directive().phase, rollout_phase::waiting);
    EXPECT_EQ(plan.directive().target_share, 0);
    view.order_age = 60s;
    EXPECT_TRUE(writes(plan.update(view), rollout_state::rolled_back));
}

TEST(RolloutPlan, GivesTheCanaryShareAtMostBeforeInstancesHaveReported)
{
    const rollout_limits limits;
    for (duration age = 0s; age < 70s; age += 250ms) {
        rollout_plan plan(make_order(), limits);
        rollout_view view;
        view.order_age = age;
        view.target_usable = true;
        view.stored = rollout_state::serving;
        view.reach = {6, 1, 1, 0};
        EXPECT_EQ(plan.update(view), rollout_step(stay{}));
        EXPECT_LE(plan.directive().target_share, canary_share(limits));
    }
}

TEST(RolloutPlan, GoesOnFromAnotherDecidersDirectives)
{
    rollout_plan plan(make_order(), {});
    std::uint64_t sent = 0;
    plan.observe(directive_of(rollout_phase::canary, 0.01, 40));
    plan.update(steady_view(1s, plan, sent));
    EXPECT_EQ(plan.directive().version, 41U);
    plan.observe(directive_of(rollout_phase::stopped, 0, 3));
    const auto step = plan.update(steady_view(2s, plan, sent));
    EXPECT_TRUE(writes(step, rollout_state::rolled_back));
    EXPECT_TRUE(replaces(plan.directive(),
                         directive_of(rollout_phase::canary, 0.01, 40)));
}

TEST(RolloutPlan, CompletesLateIfTheStoreWasAwayAtTheDeadline)
{
    rollout_plan plan(make_order(), {});
    std::uint64_t sent = 0;
    rollout_step step;
    for (duration age = 0s; age < 80s; age += 250ms) {
        auto view = steady_view(age, plan, sent);
        view.stored.reset();
        step = plan.update(view);
        EXPECT_NE(step, rollout_step(stay{}));
    }
    EXPECT_TRUE(writes(step, rollout_state::completed));
}

TEST(RolloutPlan, SuspicionAtTheDeadlineTurnsBack)
{
    rollout_plan plan(make_order(), {});
    std::uint64_t sent = 0;
    rollout_step step;
    for (duration age = 0s; age < 60s; age += 250ms) {
        auto view = steady_view(age, plan, sent);
        view.verdict = undecided{true};
        step = plan.update(view);
        EXPECT_FALSE(writes(step, rollout_state::completed));
    }
    EXPECT_TRUE(writes(step, rollout_state::rolled_back));
}

/// A store whose writes are conditional. Answers may be lost, and a write may
/// take effect after a decider has given it up.
struct test_store
{
    struct write
    {
        rollout_state state;
        std::uint64_t read_revision;
    };

    void take(const write& write)
    {
        if (write.read_revision != revision)
            return;
        if (held && *held != rollout_state::serving)
            ++final_changes;
        held = write.state;
        ++revision;
    }

    std::optional<rollout_state> held;
    std::uint64_t revision = 0;
    int final_changes = 0;
};

struct test_decider
{
    test_decider() : plan(make_order(10s), {})
    {
    }

    rollout_plan plan;
    std::optional<rollout_state> read;
    std::uint64_t read_revision = 0;
};

/// Three deciders at once, with verdicts that differ, crashes, late reads, and
/// writes that come late, twice or not at all.
RC_GTEST_PROP(RolloutDecision, NoOrderOfEventsChangesAFinalState, ())
{
    test_store store;
    std::vector<test_decider> deciders(3);
    std::vector<test_store::write> sent;
    std::uint64_t to_target = 0;
    duration age{};
    for (int i = 0; i < 200; ++i) {
        age += 100ms;
        auto& decider = deciders[*rc::gen::inRange<std::size_t>(0, 3)];
        const auto event = *rc::gen::inRange(0, 12);
        if (event == 0) {
            decider = test_decider();
        } else if (event <= 2) {
            decider.read = store.held;
            decider.read_revision = store.revision;
        } else if (event == 3 && !sent.empty()) {
            store.take(sent[*rc::gen::inRange<std::size_t>(0, sent.size())]);
        } else if (event == 4) {
            decider.plan.observe(deciders[0].plan.directive());
        } else {
            auto view = steady_view(age, decider.plan, to_target);
            view.stored = decider.read;
            if (*rc::gen::inRange(0, 30) == 0)
                view.verdict = bad_version{"lookup", "test"};
            const auto step = decider.plan.update(view);
            const bool final =
                decider.read && *decider.read != rollout_state::serving;
            RC_ASSERT(!final || step == rollout_step(stay{}));
            if (const auto* write = std::get_if<write_state>(&step))
                sent.push_back({write->state, decider.read_revision});
        }
    }
    RC_ASSERT(store.final_changes == 0);
}

replay::answer quick_answer(const replay::situation&, random_engine& random)
{
    return {true, 50ms + scaled(100ms, draw_share(random))};
}

/// Turns bad at the time when most of the budget is spent.
replay::answer late_failure(const replay::situation& met, random_engine& random)
{
    auto given = quick_answer(met, random);
    given.good = met.side == version_side::current || met.age < 19s ||
                 draw_share(random) < 0.5;
    return given;
}

struct views
{
    const char* name;
    std::size_t instances;
};

class rollout_exposure : public testing::TestWithParam<views>
{
protected:
    /// Messages get lost, a third of the instances is cut off by turns, and
    /// another instance decides now and then.
    static replay::replay_settings differing_views(std::size_t instances)
    {
        replay::replay_settings settings;
        settings.instances = instances;
        settings.per_second = 400;
        settings.time_limit = 20s;
        settings.loss = 0.2;
        settings.max_delay = 400ms;
        settings.in_touch = [](std::size_t number, duration age) {
            const auto turn = static_cast<std::size_t>(age / 4s);
            return number < 3 || number % 3 != turn % 3;
        };
        settings.decider = [](duration age) {
            return static_cast<std::size_t>(age / 7s) % 3;
        };
        return settings;
    }
};

TEST_P(rollout_exposure, KeepsToTheShareWhileViewsDiffer)
{
    const auto seeds = GetParam().instances > 100 ? 2 : 20;
    for (int seed = 1; seed <= seeds; ++seed) {
        for (const auto& answers :
             {replay::answerer(quick_answer), replay::answerer(late_failure)}) {
            replay::replay run(differing_views(GetParam().instances), answers,
                               static_cast<std::uint64_t>(seed));
            const auto result = run.run();
            const double allowed = 0.1 * static_cast<double>(result.all) + 50;
            EXPECT_LE(static_cast<double>(result.exposed), allowed)
                << "seed " << seed;
            EXPECT_GT(result.exposed, 0U);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Sizes, rollout_exposure,
                         testing::Values(views{"6", 6}, views{"56", 56},
                                         views{"528", 528}),
                         [](const auto& info) {
                             return std::string(info.param.name) + "Instances";
                         });

TEST(RolloutReplay, AnotherInstanceTakesOverAndCompletes)
{
    replay::replay_settings settings;
    settings.decider = [](duration age) {
        return age < 15s ? std::size_t{0} : std::size_t{1};
    };
    settings.in_touch = [](std::size_t number, duration age) {
        return number != 0 || age < 14s;
    };
    replay::replay run(settings, quick_answer, 3);
    const auto result = run.run();
    EXPECT_EQ(result.state, rollout_state::completed);
    EXPECT_LE(result.decided, settings.time_limit);
}

TEST(RolloutReplay, TheStoreIsAwayWhenABadVersionIsFound)
{
    replay::replay_settings settings;
    settings.store_up = [](duration age) { return age < 1s || age > 25s; };
    const auto half_fails = [](const replay::situation& met,
                               random_engine& random) {
        auto given = quick_answer(met, random);
        given.good =
            met.side == version_side::current || draw_share(random) < 0.5;
        return given;
    };
    replay::replay run(settings, half_fails, 3);
    const auto result = run.run();
    EXPECT_EQ(result.state, rollout_state::rolled_back);
    EXPECT_GT(result.decided, 25s);
    EXPECT_LE(result.lost, 60U);
}

} // namespace
