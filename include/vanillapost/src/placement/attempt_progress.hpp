#ifndef VANILLAPOST_SRC_PLACEMENT_ATTEMPT_PROGRESS_HPP
#define VANILLAPOST_SRC_PLACEMENT_ATTEMPT_PROGRESS_HPP

#include "../base/time.hpp"

namespace vanillapost {

/// Estimates how much of a request a target has completed, from the slowdown
/// that is measured there while the request runs.
///
/// A target's machine may slow down in the middle of a request. If this is
/// noticed at once, a second attempt at another target can still be in time; if
/// it is noticed only at the usual latency quantile, it cannot.
class attempt_progress
{
public:
    /// \param work    service time on an idle target at normal speed
    /// \param factor  by which work takes longer there now
    attempt_progress(duration work, double factor, time_point now);

    /// Takes over a new measurement of the factor.
    void on_factor(double factor, time_point now);

    /// Expected time until the response.
    duration remaining(time_point now) const;

    /// Expected time of this work if sent to a target with that factor.
    static duration expected(duration work, double factor);

private:
    double done(time_point now) const;

    duration work_;
    double factor_;
    double done_us_ = 0; ///< service time on an idle target at normal speed
    time_point updated_at_;
};

/// Whether a second attempt beside the running one helps the caller.
///
/// \param remaining      expected time of the running attempt from now
/// \param fresh          expected time of a new one
/// \param to_objective   time left until the latency objective; may be past
bool is_hedge_worthwhile(duration remaining, duration fresh,
                         duration to_objective);

} // namespace vanillapost

#endif
