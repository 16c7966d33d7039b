#include "vanillapost/measuring.hpp"
#include "events.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <vector>

using namespace vanillapost;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{10s};
constexpr probe_settings settings{.interval = 500ms};
const target_id target{"t"};

/// Most probes that any stretch of `length` contains.
int most_within(const std::vector<time_point>& probes, duration length)
{
    int most = 0;
    for (std::size_t first = 0, last = 0; last < probes.size(); ++last) {
        while (probes[last] - probes[first] >= length)
            ++first;
        most = std::max(most, static_cast<int>(last - first + 1));
    }
    return most;
}

} // namespace

RC_GTEST_PROP(measuring, entries_together_stay_within_the_budget, ())
{
    probe_schedule entries[2] = {probe_schedule(settings),
                                 probe_schedule(settings)};
    random_engine random(*rc::gen::arbitrary<std::uint32_t>());
    const auto events = test::draw_events(500);
    std::vector<time_point> probes;
    std::size_t holder = 0;
    time_point now = start;
    entries[0].hold(target, true, now, random);
    for (std::uint32_t event : events) {
        now += duration(1ms) * ((event >> 8) & 255);
        if ((event & 31) == 0) {
            entries[holder].release(target);
            holder = 1 - holder;
            entries[holder].hold(target, event & 32, now, random);
        } else if ((event & 31) == 1) {
            entries[holder].hold(target, event & 32, now, random);
        } else if ((event & 31) < 4) {
            entries[holder].on_traffic(target, now);
        }
        if (!entries[holder].start_due(now).empty()) {
            probes.push_back(now);
            if (event & 64)
                entries[holder].on_result(target, event & 128, now);
        }
    }
    RC_ASSERT(most_within(probes, settings.interval) <= 1);
}

RC_GTEST_PROP(measuring, two_holders_share_the_budget, ())
{
    probe_schedule entries[2] = {probe_schedule(settings),
                                 probe_schedule(settings)};
    random_engine random(*rc::gen::arbitrary<std::uint32_t>());
    std::vector<time_point> probes;
    for (auto& entry : entries)
        entry.hold(target, false, start, random);
    for (time_point now = start; now < start + 60s; now += 10ms) {
        for (auto& entry : entries) {
            if (entry.start_due(now).empty())
                continue;
            probes.push_back(now);
            entry.on_result(target, true, now);
        }
    }
    RC_ASSERT(most_within(probes, 10 * settings.interval) <= 11);
}

TEST(measuring, fresh_answers_of_work_put_probes_off)
{
    probe_schedule probes(settings);
    random_engine random(1);
    probes.hold(target, true, start, random);
    for (time_point now = start; now < start + 10s; now += 100ms) {
        probes.on_traffic(target, now);
        EXPECT_TRUE(probes.start_due(now).empty());
    }
    EXPECT_EQ(probes.start_due(start + 11s).size(), 1u);
}

TEST(measuring, unreachable_target_is_probed_ever_more_rarely)
{
    probe_schedule probes(settings);
    random_engine random(1);
    probes.hold(target, true, start, random);
    int count = 0;
    for (time_point now = start; now < start + 60s; now += 10ms) {
        for (const auto& due : probes.start_due(now)) {
            ++count;
            probes.on_result(due, false, now);
        }
    }
    EXPECT_LE(count, 13);
    EXPECT_GE(count, 8);
}

TEST(measuring, lost_probe_does_not_block_the_next)
{
    probe_schedule probes(settings);
    random_engine random(1);
    probes.hold(target, true, start, random);
    EXPECT_EQ(probes.start_due(start + 2s).size(), 1u);
    EXPECT_TRUE(probes.start_due(start + 2900ms).empty());
    EXPECT_EQ(probes.start_due(start + 4s).size(), 1u);
}

TEST(measuring, lagging_probe_does_not_overrule_recent_work)
{
    probe_judge judge;
    judge.on_traffic(target_state::warm, start);
    const probe_result cold{true, target_state::cold, start};
    EXPECT_EQ(judge.on_probe(cold, start + 1s), probe_verdict::nothing);
    EXPECT_EQ(judge.on_probe(cold, start + 3s), probe_verdict::cold);
    const probe_result warm{true, target_state::warm, start + 3s};
    EXPECT_EQ(judge.on_probe(warm, start + 4s), probe_verdict::nothing);
}

TEST(measuring, drained_or_unreachable_target_comes_back_cold)
{
    probe_judge judge;
    const probe_result none{.sent = start};
    EXPECT_EQ(judge.on_probe(none, start), probe_verdict::nothing);
    EXPECT_EQ(judge.on_probe(none, start), probe_verdict::unreachable);
    const probe_result warm{true, target_state::warm, start};
    EXPECT_EQ(judge.on_probe(warm, start), probe_verdict::back);
    const probe_result drain{true, target_state::draining, start};
    EXPECT_EQ(judge.on_probe(drain, start), probe_verdict::draining);
    EXPECT_EQ(judge.on_probe(warm, start), probe_verdict::back);
    EXPECT_EQ(judge.on_probe(warm, start), probe_verdict::nothing);
}
