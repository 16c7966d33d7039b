#include "vanillapost/src/attempts/attempt_ledger.hpp"

#include <cassert>

namespace vanillapost {

namespace {

/// Refusals of targets after which a request is refused itself.
constexpr int max_refusals = 3;
constexpr int first_server_error = 500;

bool is_success_or_final(const attempt_outcome& outcome)
{
    const auto* answer = std::get_if<attempt_answered>(&outcome);
    return answer && answer->status < first_server_error;
}

} // namespace

attempt_ledger::attempt_ledger(bool repeatable, int max_attempts)
    : repeatable_(repeatable), max_attempts_(max_attempts)
{
    assert(max_attempts >= 1);
}

bool attempt_ledger::may_start() const
{
    if (!repeatable_ && may_have_run())
        return false;
    return ran_ + open_ < max_attempts_ && refused_ < max_refusals;
}

void attempt_ledger::on_started()
{
    assert(may_start());
    ++open_;
    ++started_;
}

attempt_step attempt_ledger::on_ended(const attempt_outcome& outcome,
                                      bool budget_left)
{
    assert(open_ > 0);
    --open_;
    if (vanillapost::may_have_run(outcome))
        ++ran_;
    else if (!std::holds_alternative<attempt_not_sent>(outcome))
        ++refused_;
    if (is_success_or_final(outcome))
        return step_deliver{};
    if (open_ > 0)
        return step_wait{};
    // What was not sent has not arrived, so it takes nothing of the budget.
    const bool arrived = !std::holds_alternative<attempt_not_sent>(outcome);
    if (may_start() && (budget_left || !arrived))
        return step_repeat{};
    if (std::holds_alternative<attempt_answered>(outcome))
        return step_deliver{};
    return give_up();
}

void attempt_ledger::on_abandoned()
{
    assert(open_ > 0);
    --open_;
    ++ran_;
}

attempt_step attempt_ledger::give_up() const
{
    if (may_have_run())
        return step_fail{};
    return step_refuse{};
}

} // namespace vanillapost
