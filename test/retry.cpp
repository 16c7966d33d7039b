#include "vanillapost/retry.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <vector>

using namespace vanillapost;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{10s};

bool retries(const retry_decision& decision)
{
    return std::holds_alternative<retry_at>(decision);
}

request_facts facts(request_class kind)
{
    return {.kind = kind, .deadline = start + 1s};
}

/// A chain of services whose last target refuses everything; each hop
/// retries as its entry decides. Counts the attempts at the end.
int attempts_at_end(int depth, int caller_attempt, bool known_not_run,
                    random_engine& random)
{
    constexpr int chain_length = 26;
    if (depth == chain_length)
        return 1;
    int attempts = 0;
    retry_budget plenty({.share = 1, .largest = 1000});
    for (int i = 0; i < 1000; ++i)
        plenty.on_success();
    for (int own = 1;; ++own) {
        attempts += attempts_at_end(depth + 1, caller_attempt + own - 1,
                                    known_not_run, random);
        const bool last_hop = depth + 1 == chain_length;
        const attempt_failure failure{
            .ran = last_hop && known_not_run ? run_state::no : run_state::maybe,
            .answered = known_not_run && !last_hop};
        const request_facts request{.kind = request_class::lookup,
                                    .deadline = start + 1h,
                                    .call_depth = depth,
                                    .caller_attempt = caller_attempt,
                                    .attempts = own};
        if (!retries(decide_retry(failure, request, start, {}, plenty, random)))
            return attempts;
    }
}

} // namespace

RC_GTEST_PROP(retry, budget_bounds_retries_and_hedges_to_a_share, ())
{
    retry_budget budget({.share = 0.1, .largest = 10});
    hedge_policy hedges;
    random_engine random(1);
    const auto events = *rc::gen::resize(
        1000, rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4)));
    int successes = 0;
    int extra = 0;
    for (int event : events) {
        if (event == 0) {
            const attempt_failure refused{.ran = run_state::no};
            extra += retries(decide_retry(refused, facts(request_class::lookup),
                                          start, {}, budget, random));
        } else if (event == 1) {
            extra +=
                hedges.try_hedge(facts(request_class::lookup), start, budget);
        } else {
            ++successes;
            budget.on_success();
        }
        RC_ASSERT(extra <= 1 + 0.1 * successes + 1e-6);
    }
}

RC_GTEST_PROP(retry, nothing_unsafe_or_late_is_retried, ())
{
    const attempt_failure failure{
        .ran = static_cast<run_state>(*rc::gen::inRange(0, 3)),
        .answered = *rc::gen::arbitrary<bool>(),
        .retry_after = 1ms * *rc::gen::inRange(0, 500)};
    const request_facts request{
        .kind = static_cast<request_class>(*rc::gen::inRange(0, 3)),
        .deadline = start + 1ms * *rc::gen::inRange(-10, 300),
        .call_depth = *rc::gen::inRange(0, 7),
        .caller_attempt = *rc::gen::inRange(0, 2),
        .attempts = *rc::gen::inRange(1, 5)};
    retry_budget budget;
    random_engine random(*rc::gen::arbitrary<std::uint32_t>());
    const auto decision =
        decide_retry(failure, request, start, {}, budget, random);
    if (const auto* final = std::get_if<give_up>(&decision)) {
        RC_ASSERT(final->ran == failure.ran);
        RC_ASSERT(final->retry_after > 0ms);
        return;
    }
    const time_point at = std::get<retry_at>(decision).at;
    RC_ASSERT(at >= start + failure.retry_after);
    RC_ASSERT(at < request.deadline);
    RC_ASSERT(!failure.answered);
    RC_ASSERT(failure.ran != run_state::yes);
    if (request.kind == request_class::booking)
        RC_ASSERT(failure.ran == run_state::no);
}

TEST(retry, booking_that_may_have_run_is_not_sent_again)
{
    random_engine random(1);
    retry_budget budget;
    const attempt_failure broken{.ran = run_state::maybe};
    EXPECT_FALSE(retries(decide_retry(broken, facts(request_class::booking),
                                      start, {}, budget, random)));
    EXPECT_TRUE(retries(decide_retry(broken, facts(request_class::lookup),
                                     start, {}, budget, random)));
}

TEST(retry, attempts_do_not_multiply_along_a_chain)
{
    random_engine random(1);
    const int most = retry_settings{}.most_attempts;
    EXPECT_EQ(attempts_at_end(0, 0, true, random), most);
    // When every hop breaks off, attempts add up at the outer hops only.
    const int outer = retry_settings{}.deepest_maybe_retry + 1;
    EXPECT_LE(attempts_at_end(0, 0, false, random), 1 + outer * (most - 1));
}

TEST(retry, hedge_waits_for_the_quantile_and_only_for_lookups)
{
    hedge_policy hedges;
    EXPECT_FALSE(hedges.hedge_at(facts(request_class::lookup), start));
    for (int i = 1; i <= 1000; ++i)
        hedges.observe(100us * i);
    ASSERT_TRUE(hedges.delay());
    EXPECT_NEAR(std::chrono::duration<double>(*hedges.delay()).count(), 0.095,
                0.015);
    const auto at = hedges.hedge_at(facts(request_class::lookup), start);
    EXPECT_EQ(at, start + *hedges.delay());
    retry_budget budget;
    for (auto kind : {request_class::booking, request_class::download}) {
        EXPECT_FALSE(hedges.hedge_at(facts(kind), start));
        EXPECT_FALSE(hedges.try_hedge(facts(kind), start, budget));
    }
    request_facts late = facts(request_class::lookup);
    late.deadline = start + 50ms;
    EXPECT_FALSE(hedges.hedge_at(late, start));
}

TEST(retry, hedge_delay_follows_a_change_of_latency)
{
    hedge_policy hedges;
    for (int i = 0; i < 5000; ++i)
        hedges.observe(100ms);
    for (int i = 0; i < 10000; ++i)
        hedges.observe(10ms);
    EXPECT_LT(*hedges.delay(), 15ms);
}
