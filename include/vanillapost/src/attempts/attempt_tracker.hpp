#ifndef VANILLAPOST_SRC_ATTEMPTS_ATTEMPT_TRACKER_HPP
#define VANILLAPOST_SRC_ATTEMPTS_ATTEMPT_TRACKER_HPP

#include "attempt_outcome.hpp"

#include <variant>

namespace vanillapost {

/// Forward the target's answer to the caller.
struct step_deliver
{
};

/// Send the request again, to another target.
struct step_retry
{
};

/// Wait for another attempt that is still in flight.
struct step_wait
{
};

/// Tell the caller that the request did not run.
struct step_refuse
{
};

/// Tell the caller that the request failed and may have run.
struct step_fail
{
};

using attempt_step =
    std::variant<step_deliver, step_retry, step_wait, step_refuse, step_fail>;

/// Tracks the attempts of one caller's request and decides on the next step.
///
/// A request that may run only once is not sent again after it may have run,
/// and the caller is told that its request did not run only when that is
/// certain.
class attempt_tracker
{
public:
    /// \param repeatable    the request may run more than once
    /// \param max_attempts  number of targets that it may run on, at least 1
    attempt_tracker(bool repeatable, int max_attempts);

    /// Whether a further attempt may start now, regardless of the budget.
    bool may_start() const;

    void on_started();

    /// An attempt ended; returns what to do next.
    /// \param budget_left  whether the budget permits one more attempt that
    ///                     reaches the service
    attempt_step on_ended(const attempt_outcome& outcome, bool budget_left);

    /// An attempt was abandoned before it ended, so that it may have run.
    void on_abandoned();

    /// Another instance, which got all attempts that were left, may have made
    /// them.
    void on_attempts_given_away();

    /// Number of targets that the request may still run on.
    int left() const
    {
        return max_attempts_ - possibly_ran_ - in_flight_;
    }

    /// The final step when time is up or nothing can be sent: `step_refuse` if
    /// the request certainly has not run and will not, else `step_fail`.
    attempt_step give_up() const;

    /// Number of attempts in flight.
    int in_flight() const
    {
        return in_flight_;
    }

    int started() const
    {
        return started_;
    }

    bool may_have_run() const
    {
        return possibly_ran_ > 0 || in_flight_ > 0;
    }

private:
    bool repeatable_;
    int max_attempts_;
    int in_flight_ = 0;
    int started_ = 0;
    int possibly_ran_ = 0; ///< attempts that ended and ran or may have run
    int refused_ = 0;      ///< sent attempts that did not run
};

} // namespace vanillapost

#endif
