#ifndef VANILLAPOST_SRC_ADMISSION_DRAIN_METER_HPP
#define VANILLAPOST_SRC_ADMISSION_DRAIN_METER_HPP

#include "../base/time.hpp"

#include <optional>

namespace vanillapost {

/// Measures how fast a service's queue drains and how long a request takes.
///
/// Gaps between completions count only while requests waited throughout:
/// otherwise they tell the rate of arrivals, not the capacity.
class drain_meter
{
public:
    /// A request ended.
    ///
    /// \param took     from dispatch to the end
    /// \param waiting  whether requests wait now
    void on_completion(time_point now, duration took, bool waiting);

    /// The queue has run empty.
    void on_empty();

    /// Expected time until `position` more requests have been dispatched.
    ///
    /// \param in_flight  running requests of the service, used before enough
    /// gaps were measured
    duration expected_wait(int position, int in_flight) const;

    /// Mean time that a request takes; zero before the first one.
    duration service_time() const;

private:
    std::optional<time_point> last_;
    double gap_ = 0; ///< microseconds between completions while busy
    int gaps_ = 0;
    double took_ = 0; ///< microseconds
    int completions_ = 0;
};

} // namespace vanillapost

#endif
