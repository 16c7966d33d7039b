#ifndef VANILLAPOST_SRC_ATTEMPTS_ATTEMPT_LEDGER_HPP
#define VANILLAPOST_SRC_ATTEMPTS_ATTEMPT_LEDGER_HPP

#include "attempt_outcome.hpp"

#include <variant>

namespace vanillapost {

/// Pass the target's answer on.
struct step_deliver
{
};

/// Send the request once more, to another target.
struct step_repeat
{
};

/// Another attempt is still out: wait for it.
struct step_wait
{
};

/// Tell the caller that the request did not run.
struct step_refuse
{
};

/// Tell the caller that it failed and may have run.
struct step_fail
{
};

using attempt_step =
    std::variant<step_deliver, step_repeat, step_wait, step_refuse, step_fail>;

/// Follows the attempts of one caller's request and decides what comes next,
/// so that what may run once is never sent twice, and "did not run" is only
/// said when it is true.
class attempt_ledger
{
public:
    /// \param repeatable    it may run more than once
    /// \param max_attempts  targets that it may run on, at least 1
    attempt_ledger(bool repeatable, int max_attempts);

    /// Whether a further attempt may start now, aside from budgets.
    bool may_start() const;

    void on_started();

    /// \param budget_left  one more arrival at the service is allowed
    attempt_step on_ended(const attempt_outcome& outcome, bool budget_left);

    /// An attempt was given up on before it ended: it may have run.
    void on_abandoned();

    /// The final answer when time is up or nothing can be sent: a refusal
    /// when nothing has run or may still run.
    attempt_step give_up() const;

    /// Attempts that are out.
    int open() const
    {
        return open_;
    }

    int started() const
    {
        return started_;
    }

    bool may_have_run() const
    {
        return ran_ > 0 || open_ > 0;
    }

private:
    bool repeatable_;
    int max_attempts_;
    int open_ = 0;
    int started_ = 0;
    int ran_ = 0; ///< that ended and ran, or may have
    int refused_ = 0;
};

} // namespace vanillapost

#endif
