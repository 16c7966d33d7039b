#include "vanillapost/src/attempts/attempt_tracker.hpp"

#include <cassert>

namespace vanillapost {

namespace {

/// Number of refusals by targets after which the request itself is refused.
constexpr int max_refusals = 3;
constexpr int first_server_error = 500;

bool is_success_or_final(const attempt_outcome& outcome)
{
    const auto* answer = std::get_if<attempt_answered>(&outcome);
    return answer && answer->status < first_server_error;
}

} // namespace

attempt_tracker::attempt_tracker(bool repeatable, int max_attempts)
    : repeatable_(repeatable), max_attempts_(max_attempts)
{
    assert(max_attempts >= 1);
}

bool attempt_tracker::may_start() const
{
    if (!repeatable_ && may_have_run())
        return false;
    return left() > 0 && refused_ < max_refusals;
}

void attempt_tracker::on_started()
{
    assert(may_start());
    ++in_flight_;
    ++started_;
}

attempt_step attempt_tracker::on_ended(const attempt_outcome& outcome,
                                       bool budget_left)
{
    assert(in_flight_ > 0);
    --in_flight_;
    if (vanillapost::may_have_run(outcome))
        ++possibly_ran_;
    else if (!std::holds_alternative<attempt_not_sent>(outcome))
        ++refused_;
    if (is_success_or_final(outcome))
        return step_deliver{};
    if (in_flight_ > 0)
        return step_wait{};
    // An attempt that was not sent did not reach the service, so the next one
    // does not depend on the budget.
    const bool arrived = !std::holds_alternative<attempt_not_sent>(outcome);
    if (may_start() && (budget_left || !arrived))
        return step_retry{};
    if (std::holds_alternative<attempt_answered>(outcome))
        return step_deliver{};
    return give_up();
}

void attempt_tracker::on_abandoned()
{
    assert(in_flight_ > 0);
    --in_flight_;
    ++possibly_ran_;
}

void attempt_tracker::on_attempts_given_away()
{
    max_attempts_ = 0;
}

attempt_step attempt_tracker::give_up() const
{
    if (may_have_run())
        return step_fail{};
    return step_refuse{};
}

} // namespace vanillapost
