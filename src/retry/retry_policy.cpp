#include "vanillapost/src/retry/retry_policy.hpp"

#include <algorithm>

namespace vanillapost {

namespace {

constexpr int most_doublings = 16;

/// Whether the request may be sent again at all, time and budget aside.
bool may_repeat(const attempt_failure& failure, const request_facts& request,
                const retry_settings& settings)
{
    if (failure.answered || failure.ran == run_state::yes)
        return false;
    if (request.caller_attempt > 0 ||
        request.attempts >= settings.most_attempts)
        return false;
    if (failure.ran == run_state::no)
        return true;
    return request.idempotent() &&
           request.call_depth <= settings.deepest_maybe_retry;
}

/// Exponential delay with jitter between half and the whole.
duration backoff(const request_facts& request, const retry_settings& settings,
                 random_engine& random)
{
    const int doublings = std::clamp(request.attempts - 1, 0, most_doublings);
    const duration whole = std::min(settings.first_delay * (1 << doublings),
                                    settings.longest_delay);
    const auto half = static_cast<std::uint32_t>(whole.count() / 2);
    return duration(half + random(half + 1));
}

} // namespace

retry_decision decide_retry(const attempt_failure& failure,
                            const request_facts& request, time_point now,
                            const retry_settings& settings,
                            retry_budget& budget, random_engine& random)
{
    const give_up final{failure.ran,
                        std::max(failure.retry_after, settings.retry_after)};
    if (!may_repeat(failure, request, settings))
        return final;
    const duration delay = backoff(request, settings, random);
    const time_point at = now + std::max(delay, failure.retry_after);
    if (at + settings.shortest_attempt > request.deadline)
        return final;
    if (!budget.try_spend())
        return final;
    return retry_at{at};
}

} // namespace vanillapost
