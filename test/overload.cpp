#include "../bench/replay/load_replay.hpp"
#include "vanillapost/attempts.hpp"

#include <gtest/gtest.h>

/// Replays, in virtual time, the load patterns for which placement and the
/// refusal of late requests were made.

using namespace vanillapost;
using namespace vanillapost::bench;
using namespace std::chrono_literals;

namespace {

replay_result replay(const load_pattern& pattern,
                     library_choice::options how = {})
{
    return load_replay(pattern,
                       [&](std::size_t instance) {
                           return choice(
                               library_choice(pattern, instance, how));
                       })
        .run();
}

replay_result replay(const load_pattern& pattern, baseline_choice::rule rule)
{
    return load_replay(pattern,
                       [&](std::size_t instance) {
                           return choice(
                               baseline_choice(rule, pattern, instance));
                       })
        .run();
}

load_pattern pattern_of(std::size_t targets, double per_second, duration length)
{
    load_pattern result;
    result.targets = targets;
    result.per_second = per_second;
    result.length = length;
    return result;
}

// In the burst, callers send more than the targets can serve in time.
const load_pattern burst = pattern_of(4, 45, 10s);
const load_pattern calm = pattern_of(9, 20, 20s);

TEST(Overload, RefusingWhatWouldBeLateServesMoreInTime)
{
    const auto refusing = replay(burst);
    const auto queueing = replay(burst, {.queues_always = true});
    EXPECT_GT(refusing.in_time_share(), 1.5 * queueing.in_time_share());
    EXPECT_GT(refusing.in_time_share(), 0.3);
}

TEST(Overload, NothingIsRefusedWhileThereIsRoom)
{
    const auto served = replay(calm);
    EXPECT_LT(served.lost_share(), 0.01);
    EXPECT_GT(served.in_time_share(), 0.85);
}

// A quarter of the machines is slow at any time, and only a fresh report shows
// which.
TEST(Overload, MeasuringBeforeTheChoiceAvoidsSlowMachines)
{
    const auto measured = replay(calm);
    const auto blind = replay(calm, {.measures = false});
    EXPECT_LT(1 - measured.in_time_share(), 0.6 * (1 - blind.in_time_share()));
}

// Instances do not know which targets the others are choosing at the same time.
TEST(Overload, SeveralInstancesServeAsOneDoes)
{
    auto shared = calm;
    shared.instances = 6;
    const auto together = replay(shared);
    EXPECT_GT(together.in_time_share(), replay(calm).in_time_share() - 0.05);
}

TEST(Overload, EveryBaselineIsBeatenAtBothUsers)
{
    using rule = baseline_choice::rule;
    for (auto pattern : patterns_of_today()) {
        for (const double load : {0.2, 0.8, 1.5}) {
            pattern.per_second = load * pattern.capacity();
            const auto own = replay(pattern).in_time_share();
            for (const auto which : {rule::random, rule::round_robin,
                                     rule::least_reported, rule::two_choices})
                EXPECT_GT(own, replay(pattern, which).in_time_share())
                    << pattern.service << " at " << load;
        }
    }
}

// Targets that refuse requests report free slots, which attracts more requests.
TEST(Overload, KeepingThePausesOfTargetsServesMoreInABurst)
{
    auto pattern = patterns_of_today().front();
    pattern.per_second = 0.8 * pattern.capacity();
    pattern.pause = 1s;
    const auto replay_pauses = [&](bool keeps, bool shares) {
        return load_replay(
                   pattern,
                   [&](std::size_t instance) {
                       return choice(library_choice(pattern, instance,
                                                    {.keeps_pauses = keeps}));
                   },
                   shares)
            .run();
    };
    const auto kept = replay_pauses(true, false);
    const auto ignored = replay_pauses(false, false);
    const auto shared = replay_pauses(true, true);
    EXPECT_GT(kept.in_time_share(), ignored.in_time_share());
    // One refusal for each instance, target and pause, and one more for a
    // request that is sent before the refusal has come back.
    const auto pauses = pattern.length / pattern.pause;
    EXPECT_LE(kept.turned_away, 2 * static_cast<int>(pauses * pattern.targets *
                                                     pattern.instances));
    EXPECT_GT(ignored.turned_away, 10 * kept.turned_away);
}

// Callers that retry have less time left than those that send a first request.
TEST(Overload, ARetryIsDistinguishedFromAFirstRequest)
{
    caller_wait_estimator known;
    random_engine random(3);
    for (int i = 0; i < 200; ++i)
        known.observe(i % 3 == 0 ? duration(2'500'000 - random() % 2'000'000)
                                 : duration(2500ms));
    EXPECT_EQ(known.waited(2500ms), 0ms);
    EXPECT_EQ(known.waited(1900ms), 600ms);
    EXPECT_EQ(known.waited(4s), 0ms);
}

TEST(Overload, WithoutACommonTimeNoRequestIsTakenForARetry)
{
    caller_wait_estimator known;
    random_engine random(3);
    for (int i = 0; i < 200; ++i)
        known.observe(duration(1'000'000 + random() % 2'000'000));
    EXPECT_EQ(known.waited(1s), 0ms);
}

} // namespace
