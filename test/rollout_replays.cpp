#include "rollout_replay.hpp"

#include <cctype>
#include <cstdio>
#include <cstdlib>
#include <gtest/gtest.h>

using namespace vanillapost;
using namespace vanillapost::replay;

namespace {

constexpr int seed_count = 1000;
/// The baselines' figures are only printed; BASELINE_SEEDS asks for others.
constexpr int baseline_seed_count = 200;
constexpr duration time_limit = 30s;

/// Draws what one seed's trouble looks like, and answers by it.
using scenario = std::function<answerer(random_engine&)>;

struct kind
{
    const char* name;
    bool good;
    scenario make;
    /// Share of seeds that may be judged wrongly.
    double max_wrong = 0.01;
    std::function<double(duration)> load = [](duration) { return 1.0; };
};

bool draw_chance(double share, random_engine& random)
{
    return draw_share(random) < share;
}

/// Most answers take 70 to 200 ms, a few wait longer.
duration usual_latency(random_engine& random)
{
    const double wait = -std::log(1 - draw_share(random) * 0.999);
    return 70ms + scaled(60ms, wait);
}

answer usual_answer(random_engine& random)
{
    return {!draw_chance(0.002, random), usual_latency(random)};
}

answer failed_if(bool failed, random_engine& random)
{
    auto given = usual_answer(random);
    given.good = given.good && !failed;
    return given;
}

answer slowed_if(bool slow, double factor, random_engine& random)
{
    auto given = usual_answer(random);
    if (slow)
        given.latency = scaled(given.latency, factor);
    return given;
}

duration draw_age(duration from, duration to, random_engine& random)
{
    return from + scaled(to - from, draw_share(random));
}

bool within(duration age, duration begin, duration length)
{
    return age >= begin && age < begin + length;
}

answerer quiet(random_engine&)
{
    return [](const situation&, random_engine& random) {
        return usual_answer(random);
    };
}

/// More requests than both versions can serve: some fail, all wait.
answerer burst(random_engine& random)
{
    const auto begin = draw_age(0s, time_limit - 4s, random);
    return [begin](const situation& met, random_engine& random) {
        const bool busy = within(met.age, begin, 4s);
        auto given = slowed_if(busy, 3, random);
        given.good = given.good && !(busy && draw_chance(0.25, random));
        return given;
    };
}

/// A third of both versions' targets is slow.
answerer slow_data_centre(random_engine& random)
{
    const auto begin = draw_age(0s, time_limit, random);
    return [begin](const situation& met, random_engine& random) {
        const bool slow = met.target % 3 == 0 && within(met.age, begin, 8s);
        return slowed_if(slow, 5, random);
    };
}

answerer lost_data_centre(random_engine& random)
{
    const auto begin = draw_age(0s, time_limit, random);
    return [begin](const situation& met, random_engine& random) {
        const bool lost = met.target % 3 == 0 && within(met.age, begin, 1500ms);
        return failed_if(lost, random);
    };
}

/// The first answers of each target are slow.
answerer cold_targets(random_engine&)
{
    return [](const situation& met, random_engine& random) {
        const bool cold = met.side == version_side::target && met.earlier < 2;
        return slowed_if(cold, 3, random);
    };
}

/// One target of the target version fails in part all the time.
answerer sick_target(random_engine& random)
{
    const auto sick = random(target_count);
    return [sick](const situation& met, random_engine& random) {
        const bool fails = met.side == version_side::target &&
                           met.target == sick && draw_chance(0.6, random);
        return failed_if(fails, random);
    };
}

answerer slow_target(random_engine& random)
{
    const auto sick = random(target_count);
    return [sick](const situation& met, random_engine& random) {
        const bool slow =
            met.side == version_side::target && met.target == sick;
        return slowed_if(slow, 6, random);
    };
}

/// Three targets of a version crash at once.
answerer crashes(random_engine& random)
{
    const auto begin = draw_age(0s, time_limit, random);
    const auto first = random(target_count - 3);
    const auto side =
        draw_chance(0.5, random) ? version_side::target : version_side::current;
    return [=](const situation& met, random_engine& random) {
        const bool crashed = met.side == side && met.target >= first &&
                             met.target < first + 3 &&
                             within(met.age, begin, 1500ms);
        return failed_if(crashed, random);
    };
}

scenario fails_in_part(double share)
{
    return [share](random_engine&) {
        return [share](const situation& met, random_engine& random) {
            const bool fails =
                met.side == version_side::target && draw_chance(share, random);
            return failed_if(fails, random);
        };
    };
}

scenario slow_in_part(double share, double factor)
{
    return [=](random_engine&) {
        return [=](const situation& met, random_engine& random) {
            const bool slow =
                met.side == version_side::target && draw_chance(share, random);
            return slowed_if(slow, factor, random);
        };
    };
}

answerer fails_later(random_engine& random)
{
    const auto begin = draw_age(5s, scaled(time_limit, 0.9), random);
    return [begin](const situation& met, random_engine& random) {
        const bool fails = met.side == version_side::target &&
                           met.age >= begin && draw_chance(0.3, random);
        return failed_if(fails, random);
    };
}

answerer fails_under_load(random_engine&)
{
    return [](const situation& met, random_engine& random) {
        const bool fails = met.side == version_side::target &&
                           met.target_share > 0.4 && draw_chance(0.3, random);
        return failed_if(fails, random);
    };
}

answerer slow_under_load(random_engine&)
{
    return [](const situation& met, random_engine& random) {
        const bool slow = met.side == version_side::target &&
                          met.target_share > 0.4 && draw_chance(0.5, random);
        return slowed_if(slow, 4, random);
    };
}

answerer fails_on_one_route(random_engine&)
{
    return [](const situation& met, random_engine& random) {
        const bool fails = met.side == version_side::target && met.route == 1 &&
                           draw_chance(0.4, random);
        return failed_if(fails, random);
    };
}

answerer fails_in_burst(random_engine& random)
{
    const auto other = burst(random);
    const auto bad = fails_in_part(0.3)(random);
    return [=](const situation& met, random_engine& random) {
        auto given = other(met, random);
        given.good = given.good && bad(met, random).good;
        return given;
    };
}

std::function<double(duration)> doubled_load()
{
    return [](duration age) { return within(age, 20s, 15s) ? 2.0 : 1.0; };
}

std::vector<kind> kinds()
{
    return {{"good, quiet", true, quiet},
            {"good, load doubles late", true, quiet, 0.01, doubled_load()},
            {"good, burst", true, burst, 0.02},
            {"good, slow data centre", true, slow_data_centre, 0.02},
            {"good, lost data centre", true, lost_data_centre, 0.02},
            {"good, cold targets", true, cold_targets},
            {"good, one target fails", true, sick_target},
            {"good, one target slow", true, slow_target},
            {"good, three targets crash", true, crashes},
            {"bad, 10 % fail", false, fails_in_part(0.1), 0.05},
            {"bad, 30 % fail", false, fails_in_part(0.3)},
            {"bad, all fail", false, fails_in_part(1)},
            {"bad, 40 % slow by 4", false, slow_in_part(0.4, 4)},
            {"bad, later 30 % fail", false, fails_later},
            {"bad, under load 30 % fail", false, fails_under_load},
            {"bad, under load 50 % slow by 4", false, slow_under_load, 0.03},
            {"bad, one route 40 % fail", false, fails_on_one_route},
            {"bad, 30 % fail, burst", false, fails_in_burst}};
}

/// Baseline: steps by the clock, whatever the answers are.
rollout_verdict by_clock(const evidence_totals&, time_point)
{
    return good_so_far{};
}

/// Baseline: more than one answer in twenty bad, or slower than a second.
rollout_verdict by_threshold(const evidence_totals& totals, time_point)
{
    constexpr std::uint64_t min_answers = 20;
    constexpr double max_worse = 0.05;
    std::uint64_t answers = 0;
    std::uint64_t worse = 0;
    for (const auto& [route, evidence] : totals.routes) {
        const auto target = evidence.all_target();
        answers += target.answers();
        worse += target.bad + target.slower_than(latency_bucket(1s));
    }
    const bool bad =
        answers >= min_answers &&
        static_cast<double>(worse) > max_worse * static_cast<double>(answers);
    if (bad)
        return bad_version{"", "over the threshold"};
    return good_so_far{};
}

struct outcome
{
    int seeds = 0;
    int wrong = 0;   ///< good ones rolled back, bad ones completed
    int undone = 0;  ///< no final state at the end
    int exposed = 0; ///< beyond the share and the slack
    int late = 0;    ///< requests over 5 s after the 50th bad answer
    double lost = 0;
    std::uint64_t most_lost = 0;
    std::string example;
};

outcome replay_kind(const kind& kind, const judge_function& judge, int seeds)
{
    outcome sum;
    sum.seeds = seeds;
    for (int seed = 1; seed <= seeds; ++seed) {
        random_engine random(static_cast<std::uint64_t>(seed));
        replay_settings settings;
        settings.time_limit = time_limit;
        settings.load = kind.load;
        class replay run(settings, kind.make(random),
                         static_cast<std::uint64_t>(seed), judge);
        const auto result = run.run();
        const auto right =
            kind.good ? rollout_state::completed : rollout_state::rolled_back;
        const bool undone = result.state == rollout_state::serving;
        const bool wrong = result.state != right;
        sum.undone += undone;
        sum.wrong += wrong && !undone;
        if (wrong && sum.example.empty())
            sum.example = "seed " + std::to_string(seed) + " " + result.reason;
        sum.exposed += static_cast<double>(result.exposed) >
                       0.1 * static_cast<double>(result.all) + 50;
        sum.late += !kind.good && !wrong && result.after_50th > 5s;
        sum.lost += static_cast<double>(result.lost) / seeds;
        sum.most_lost = std::max(sum.most_lost, result.lost);
    }
    return sum;
}

void print(const kind& kind, const char* judge, const outcome& sum)
{
    std::printf("%-31s %-9s seeds %4d wrong %5.1f %% undone %d exposed %d "
                "late %d lost %5.1f most %llu %s\n",
                kind.name, judge, sum.seeds, 100.0 * sum.wrong / sum.seeds,
                sum.undone, sum.exposed, sum.late, sum.lost,
                static_cast<unsigned long long>(sum.most_lost),
                sum.example.c_str());
}

int baseline_seeds()
{
    const char* asked = std::getenv("BASELINE_SEEDS");
    return asked ? std::atoi(asked) : baseline_seed_count;
}

class rollout_replays : public testing::TestWithParam<kind>
{
};

TEST_P(rollout_replays, JudgesRightWithinTheLimits)
{
    const auto& kind = GetParam();
    const auto judged = replay_kind(kind, {}, seed_count);
    print(kind, "judge", judged);
    EXPECT_EQ(judged.undone, 0);
    EXPECT_EQ(judged.exposed, 0);
    EXPECT_EQ(judged.late, 0);
    EXPECT_LE(judged.wrong, kind.max_wrong * seed_count) << judged.example;

    const auto seeds = baseline_seeds();
    if (seeds <= 0)
        return;
    print(kind, "clock", replay_kind(kind, by_clock, seeds));
    print(kind, "threshold", replay_kind(kind, by_threshold, seeds));
}

struct service_case
{
    const char* name;
    std::size_t instances;
    double per_second;
    duration time_limit;
    duration report_period;
    /// Versions that fail in part and may be completed, of `seeds`; too few
    /// answers tell little.
    int max_completed = 0;
};

class rollout_services : public testing::TestWithParam<service_case>
{
protected:
    /// Number of seeds in which the version is judged wrongly.
    static int wrong_of(const answerer& answers, rollout_state right)
    {
        replay_settings settings;
        settings.instances = GetParam().instances;
        settings.per_second = GetParam().per_second;
        settings.time_limit = GetParam().time_limit;
        settings.report_period = GetParam().report_period;
        int wrong = 0;
        for (int seed = 1; seed <= seeds; ++seed) {
            class replay run(settings, answers,
                             static_cast<std::uint64_t>(seed));
            const auto result = run.run();
            wrong += result.state != right;
            EXPECT_LE(static_cast<double>(result.exposed),
                      0.1 * static_cast<double>(result.all) + 50)
                << "seed " << seed;
        }
        return wrong;
    }

    static constexpr int seeds = 20;
};

TEST_P(rollout_services, JudgesRightWithinTheLimits)
{
    random_engine random(1);
    const auto good = wrong_of(quiet(random), rollout_state::completed);
    const auto failing =
        wrong_of(fails_in_part(0.3)(random), rollout_state::rolled_back);
    const auto loaded =
        wrong_of(fails_under_load(random), rollout_state::rolled_back);
    const auto slow =
        wrong_of(slow_in_part(0.5, 4)(random), rollout_state::rolled_back);
    std::printf("%-20s of %d seeds wrong: good %d, 30 %% fail %d, under load "
                "30 %% fail %d, 50 %% slow %d\n",
                GetParam().name, seeds, good, failing, loaded, slow);
    EXPECT_EQ(good, 0);
    EXPECT_LE(failing, GetParam().max_completed);
}

INSTANTIATE_TEST_SUITE_P(
    Services, rollout_services,
    testing::Values(service_case{"10 s", 52, 500, 10s, 250ms},
                    service_case{"15 s", 52, 200, 15s, 250ms},
                    service_case{"30 s", 52, 500, 30s, 500ms},
                    service_case{"60 s", 52, 300, 60s, 1s},
                    service_case{"few requests", 6, 10, 60s, 500ms},
                    service_case{"very few requests", 6, 1, 120s, 1s, 8},
                    service_case{"long", 6, 50, 300s, 1s}));

INSTANTIATE_TEST_SUITE_P(Kinds, rollout_replays, testing::ValuesIn(kinds()),
                         [](const auto& info) {
                             std::string name;
                             for (const char c : std::string(info.param.name))
                                 if (std::isalnum(
                                         static_cast<unsigned char>(c)))
                                     name += c;
                             return name;
                         });

} // namespace
