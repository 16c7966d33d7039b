#include "vanillapost/attempts.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace vanillapost;
using namespace std::chrono_literals;

namespace {

const std::vector<attempt_outcome> outcomes = {
    attempt_not_sent{"refused"}, attempt_refused{503},  attempt_misdirected{},
    attempt_answered{200},       attempt_answered{500}, attempt_lost{"reset"}};

template <class Step>
bool is(const attempt_step& step)
{
    return std::holds_alternative<Step>(step);
}

/// What really happened at the targets, tracked separately from the
/// `attempt_tracker` that is checked.
struct ground_truth
{
    int may_have_run = 0;
    int in_flight = 0;
};

/// Explores every order of started, ended and abandoned attempts up to a depth.
struct explorer
{
    bool repeatable;
    int max_attempts;
    int states = 0;

    void explore(const attempt_tracker& tracker, ground_truth actual, int depth)
    {
        ++states;
        check(tracker, actual);
        if (depth == 0)
            return;
        if (tracker.may_start()) {
            auto next = tracker;
            next.on_started();
            auto after = actual;
            ++after.in_flight;
            explore(next, after, depth - 1);
        }
        if (actual.in_flight == 0)
            return;
        for (const auto& outcome : outcomes)
            for (const bool budget : {false, true})
                end(tracker, actual, outcome, budget, depth);
        auto abandoned = tracker;
        abandoned.on_abandoned();
        auto after = actual;
        --after.in_flight;
        ++after.may_have_run;
        explore(abandoned, after, depth - 1);
    }

    void end(const attempt_tracker& tracker, ground_truth actual,
             const attempt_outcome& outcome, bool budget, int depth)
    {
        auto next = tracker;
        const auto step = next.on_ended(outcome, budget);
        --actual.in_flight;
        actual.may_have_run += may_have_run(outcome);
        const bool ran = actual.may_have_run + actual.in_flight > 0;
        if (is<step_refuse>(step))
            EXPECT_FALSE(ran) << "refused as not run, though it may have run";
        if (is<step_retry>(step)) {
            EXPECT_TRUE(repeatable || !ran) << "may run twice";
            EXPECT_TRUE(next.may_start());
        }
        if (is<step_wait>(step))
            EXPECT_GT(actual.in_flight, 0);
        if (!is<step_deliver>(step))
            explore(next, actual, depth - 1);
    }

    void check(const attempt_tracker& tracker, const ground_truth& actual) const
    {
        const int ran = actual.may_have_run + actual.in_flight;
        EXPECT_LE(ran, max_attempts);
        if (!repeatable)
            EXPECT_LE(ran, 1);
        EXPECT_EQ(is<step_refuse>(tracker.give_up()), ran == 0);
    }
};

TEST(Attempts, EveryOrderRunsAtMostOnceAndRefusesTruthfully)
{
    constexpr int depth = 7;
    for (const bool repeatable : {false, true})
        for (const int most : {1, 2, 3}) {
            explorer each{repeatable, most};
            each.explore(attempt_tracker(repeatable, most), {}, depth);
            EXPECT_GT(each.states, 100);
        }
}

TEST(Attempts, AnUnsentAttemptIsRetriedWithoutABudget)
{
    attempt_tracker tracker(false, 2);
    tracker.on_started();
    EXPECT_TRUE(is<step_retry>(
        tracker.on_ended(attempt_not_sent{"no connection"}, false)));
}

// Each of two instances made all attempts of the route.
TEST(Attempts, NoneIsLeftOnceAnotherInstanceMayHaveMadeThem)
{
    attempt_tracker tracker(true, 3);
    EXPECT_EQ(tracker.left(), 3);
    tracker.on_started();
    EXPECT_TRUE(is<step_retry>(tracker.on_ended(attempt_lost{"cut"}, true)));
    EXPECT_EQ(tracker.left(), 2);
    tracker.on_started();
    tracker.on_attempts_given_away();
    EXPECT_TRUE(is<step_fail>(tracker.on_ended(attempt_lost{"relay"}, true)));
    EXPECT_FALSE(tracker.may_start());
}

TEST(Attempts, ATargetsFailureIsForwardedWhenNoRetryIsAllowed)
{
    attempt_tracker tracker(false, 2);
    tracker.on_started();
    EXPECT_TRUE(
        is<step_deliver>(tracker.on_ended(attempt_answered{500}, true)));
}

TEST(Attempts, ARequestIsRefusedAfterAFewRefusalsByTargets)
{
    attempt_tracker tracker(true, 2);
    for (int i = 0; i < 2; ++i) {
        tracker.on_started();
        EXPECT_TRUE(is<step_retry>(tracker.on_ended(attempt_refused{}, true)));
    }
    tracker.on_started();
    EXPECT_TRUE(is<step_refuse>(tracker.on_ended(attempt_refused{}, true)));
}

/// Several instances that know of different numbers of members. One of them
/// restarts and loses the record of what it sent.
RC_GTEST_PROP(RetryBudget, AllInstancesTogetherStayWithinTheLimit, ())
{
    const retry_budget_settings settings{
        .ratio = 0.2, .allowance = 58, .window = 10s};
    constexpr int members = 6;
    std::vector<retry_budget> budgets;
    for (int i = 0; i < members; ++i) {
        budgets.emplace_back(settings, time_point{1s});
        budgets.back().set_members(*rc::gen::inRange(5, 8));
    }
    const auto restart_at = *rc::gen::inRange(50, 250);
    std::vector<int> requests;
    std::vector<int> retries;
    for (int tick = 0; tick < 300; ++tick) { // of 100 ms
        const time_point now = time_point{1s} + tick * 100ms;
        requests.push_back(0);
        retries.push_back(0);
        if (tick == restart_at) {
            budgets[0] = retry_budget(settings, now);
            budgets[0].set_members(members);
        }
        for (auto& each : budgets) {
            const int arrivals = *rc::gen::inRange(0, 3);
            for (int i = 0; i < arrivals; ++i)
                each.on_request(now);
            requests.back() += arrivals;
            while (each.has_room(now)) {
                each.on_retry(now);
                ++retries.back();
            }
        }
    }
    constexpr int window = 100;
    for (int end = window; end <= 300; ++end) {
        int window_requests = 0;
        int window_retries = 0;
        for (int tick = end - window; tick < end; ++tick) {
            window_requests += requests[static_cast<std::size_t>(tick)];
            window_retries += retries[static_cast<std::size_t>(tick)];
        }
        RC_ASSERT(window_retries <=
                  settings.ratio * window_requests + settings.allowance);
    }
}

TEST(RetryBudget, HedgesLeaveAReserveForRetries)
{
    retry_budget budget({.ratio = 0, .allowance = 16, .window = 10s},
                        time_point{1s});
    const time_point now{20s};
    int hedges = 0;
    while (budget.has_room(now, 0.5)) {
        budget.on_retry(now);
        ++hedges;
    }
    EXPECT_EQ(hedges, 5);
    EXPECT_TRUE(budget.has_room(now));
}

TEST(RetryAfterEstimate, WaitsAreSpreadAroundAMeanOrAfterAnEarliestTime)
{
    EXPECT_EQ(jitter_retry_after({400ms}, 0), 200ms);
    EXPECT_EQ(jitter_retry_after({400ms}, 1), 600ms);
    EXPECT_EQ(jitter_retry_after({20s}, 1), 1500ms);
    EXPECT_EQ(jitter_retry_after({0ms}, 0), 75ms);
    EXPECT_EQ(jitter_retry_after({2s, true}, 0), 2s);
    EXPECT_EQ(jitter_retry_after({2s, true}, 1), 2500ms);
    EXPECT_EQ(jitter_retry_after({1h, true}, 0), 60s);
}

} // namespace
