#ifndef VANILLAPOST_SRC_ATTEMPTS_SHUTDOWN_PLAN_HPP
#define VANILLAPOST_SRC_ATTEMPTS_SHUTDOWN_PLAN_HPP

#include "../base/time.hpp"

namespace vanillapost {

/// What is known of a request when a stopping instance decides on it.
struct late_request
{
    duration time_limit{};    ///< until it gets its final answer at the latest
    duration expected_work{}; ///< of a request of its route, on an idle target
    bool repeatable = false;
    bool has_peers = false; ///< a ready peer can take it in place of this one
};

/// The times of a graceful shutdown of one instance, and the decision which
/// requests are still passed on to targets.
///
/// The process ends with the grace period, whoever still waits for an answer.
/// So a request is passed on late only if its answer is certain to come before
/// that: its time limit ends earlier. Others are refused at once, which their
/// callers can rely on, rather than cut when they may have run. Where no peer
/// is left to take it, a repeatable request is passed on if a slow target would
/// still answer in time.
class shutdown_plan
{
public:
    /// \param began  when the instance was told to stop
    /// \param grace_period  from then until the process would be killed
    shutdown_plan(time_point began, duration grace_period);

    /// Connections are accepted until then: callers go on using this instance's
    /// address for a while after they were asked not to.
    time_point accepts_until() const
    {
        return accepts_until_;
    }

    /// Every request that was taken has its final answer by then.
    time_point answers_until() const
    {
        return answers_until_;
    }

    /// The process exits then, whatever is in flight.
    time_point exits_at() const
    {
        return exits_at_;
    }

    /// Returns whether a request that was read at `now` is passed on.
    bool admits(time_point now, const late_request& request) const;

private:
    time_point accepts_until_;
    time_point answers_until_;
    time_point exits_at_;
};

} // namespace vanillapost

#endif
