#ifndef VANILLAPOST_SRC_RETRY_RETRY_POLICY_HPP
#define VANILLAPOST_SRC_RETRY_RETRY_POLICY_HPP

#include "../base/random.hpp"
#include "../base/time.hpp"
#include "../records/record.hpp"
#include "retry_budget.hpp"

#include <variant>

namespace vanillapost {

/// Whether a request has run, as far as is known.
enum class run_state
{
    no,
    maybe,
    yes,
};

/// What a retry decision needs to know of a request.
struct request_facts
{
    request_class kind = request_class::lookup;
    time_point deadline{};
    int call_depth = 0;     ///< `Call-Depth`
    int caller_attempt = 0; ///< `Retry-Attempt`: repeats further up
    int attempts = 1;       ///< attempts that this entry has made

    bool idempotent() const
    {
        return kind != request_class::booking;
    }
};

/// How an attempt failed.
struct attempt_failure
{
    run_state ran = run_state::maybe;
    /// The target answered as a whole: its answer is passed on as it is.
    bool answered = false;
    duration retry_after{}; ///< the target's wish; 0 when it has none
};

/// Send the request again, on another target where there is one.
struct retry_at
{
    time_point at{};
};

/// Give the caller its final answer.
struct give_up
{
    run_state ran = run_state::maybe;
    duration retry_after{};
};

using retry_decision = std::variant<retry_at, give_up>;

struct retry_settings
{
    int most_attempts = 3; ///< of this entry, the first included
    duration first_delay = std::chrono::milliseconds(2);
    duration longest_delay = std::chrono::milliseconds(100);
    /// Time that an attempt needs at least; no retry closer to the deadline.
    duration shortest_attempt = std::chrono::milliseconds(5);
    int deepest_maybe_retry = 4; ///< `Call-Depth` above which only work that
                                 ///< did not run is retried
    duration retry_after = std::chrono::milliseconds(100);
};

/// Decides what follows a failed attempt.
///
/// Only the entry next to the failing target retries: a whole answer, also
/// an error, is passed on, and a request that is itself a repeat gets one
/// attempt. So the attempts that one call causes grow by addition along a
/// chain of calls, not by multiplication.
///
/// \note Takes a token of the budget when it returns \ref retry_at.
retry_decision decide_retry(const attempt_failure& failure,
                            const request_facts& request, time_point now,
                            const retry_settings& settings,
                            retry_budget& budget, random_engine& random);

} // namespace vanillapost

#endif
