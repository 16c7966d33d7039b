#include "vanillapost/burn.hpp"
#include "events.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <string>
#include <vector>

using namespace vanillapost;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{10s};

answer_count all_bad(std::uint64_t total)
{
    return {0, total};
}

} // namespace

RC_GTEST_PROP(burn, restarts_of_entries_lose_and_double_nothing_read, ())
{
    burn_tracker tracker;
    std::array<answer_count, 3> counters{};
    answer_count truth;
    time_point now = start;
    for (int i = 0; i < 3; ++i)
        tracker.observe("e" + std::to_string(i), now, {}, true);
    const auto events = test::draw_events(300);
    for (std::uint32_t event : events) {
        now += 1s * ((event >> 8) & 63);
        const std::size_t source = event % counters.size();
        const std::uint64_t good = (event >> 16) & 15;
        const std::uint64_t bad = (event >> 20) & 15;
        // A restarted entry may have counted less than before, or just as
        // much, which cannot be told from no restart.
        const bool restart =
            (event & 64) && good + bad < counters[source].total;
        if (restart)
            counters[source] = {};
        counters[source].good += good;
        counters[source].total += good + bad;
        truth.good += good;
        truth.total += good + bad;
        tracker.observe("e" + std::to_string(source), now, counters[source]);
        RC_ASSERT(tracker.total() == truth);
        for (duration length : burn_windows)
            RC_ASSERT(tracker.window(length, now).answers.total <= truth.total);
    }
}

TEST(burn, window_covers_its_length_only)
{
    burn_tracker tracker({.objective = 0.99});
    tracker.observe("e", start, {}, true);
    tracker.observe("e", start + 10min, all_bad(100));
    for (int minute = 11; minute <= 40; ++minute)
        tracker.observe("e", start + 1min * minute,
                        {100u * (minute - 10), 100u * (minute - 9)});
    const time_point now = start + 40min;
    EXPECT_EQ(tracker.window(5min, now).answers, (answer_count{500, 500}));
    EXPECT_EQ(tracker.window(1h, now).answers, (answer_count{3000, 3100}));
    EXPECT_EQ(tracker.window(1h, now).covered, 40min);
    EXPECT_NEAR(tracker.window(1h, now).burn_rate(0.99), 100.0 / 31, 0.01);
}

TEST(burn, longest_window_outlives_the_trimming_of_history)
{
    burn_tracker tracker;
    tracker.observe("e", start, {}, true);
    time_point now = start;
    for (std::uint64_t minute = 1; minute <= 600; ++minute) {
        now += 1min;
        tracker.observe("e", now, {100 * minute, 100 * minute});
    }
    for (duration length : burn_windows)
        EXPECT_EQ(tracker.window(length, now).answers.total,
                  100u * std::uint64_t(length / 1min));
}

TEST(burn, page_needs_both_windows)
{
    burn_tracker tracker({.objective = 0.999});
    tracker.observe("e", start, {}, true);
    std::uint64_t total = 0;
    time_point now = start;
    for (int minute = 0; minute < 60; ++minute) {
        now += 1min;
        tracker.observe("e", now, all_bad(total += 100));
    }
    EXPECT_EQ(tracker.severity(now), burn_severity::page);
    EXPECT_LT(tracker.budget_left(now), 0);
    // Good again for ten minutes: the hour still burns, the present not.
    std::uint64_t good = 0;
    for (int minute = 0; minute < 10; ++minute) {
        now += 1min;
        good += 100;
        tracker.observe("e", now, {good, total += 100});
    }
    EXPECT_NE(tracker.severity(now), burn_severity::page);
}

TEST(burn, windows_of_entries_add_up)
{
    const std::array<burn_window, 2> parts = {
        burn_window{5min, 5min, {90, 100}}, burn_window{5min, 2min, {10, 10}}};
    const burn_window sum = merge(parts);
    EXPECT_EQ(sum.answers, (answer_count{100, 110}));
    EXPECT_EQ(sum.covered, 5min);
    EXPECT_EQ(burn_window{}.error_rate(), 0);
}

TEST(burn, first_sight_of_a_running_entry_counts_nothing)
{
    burn_tracker tracker;
    tracker.observe("e", start, {500, 1000});
    EXPECT_EQ(tracker.total().total, 0u);
}
