#ifndef VANILLAPOST_SRC_PLACEMENT_ATTEMPT_PROGRESS_HPP
#define VANILLAPOST_SRC_PLACEMENT_ATTEMPT_PROGRESS_HPP

#include "../base/time.hpp"

namespace vanillapost {

/// Estimates how far a target has come with a request, from how long work
/// takes there while it runs.
///
/// Pattern it answers: a target's machine slows down in the middle of a
/// request. Seen while it runs, the request can be sent to another target in
/// time; seen at the usual latency quantile, it cannot.
class attempt_progress
{
public:
    /// \param work    on an idle target at the usual pace
    /// \param factor  by which work takes longer there now
    attempt_progress(duration work, double factor, time_point now);

    /// The factor was measured again.
    void on_factor(double factor, time_point now);

    /// Expected time until the answer.
    duration remaining(time_point now) const;

    /// Expected time of the same work sent to a target with that factor.
    static duration expected(duration work, double factor);

private:
    double done(time_point now) const;

    duration work_;
    double factor_;
    double done_us_ = 0; ///< in time of an idle target at the usual pace
    time_point updated_at_;
};

/// Whether a second attempt beside the running one serves its caller.
///
/// \param remaining      expected time of the running attempt from now
/// \param fresh          expected time of a new one
/// \param to_objective   time left until the latency objective; may be past
bool is_hedge_worthwhile(duration remaining, duration fresh,
                         duration to_objective);

} // namespace vanillapost

#endif
