#ifndef VANILLAPOST_SRC_ROUTING_LATENCY_TRACKER_HPP
#define VANILLAPOST_SRC_ROUTING_LATENCY_TRACKER_HPP

#include "../base/time.hpp"

#include <optional>

namespace vanillapost {

/// Exponentially weighted mean of a target's latency.
class latency_tracker
{
public:
    /// \param weight  of the newest answer, above 0 and at most 1
    explicit latency_tracker(double weight = 0.3);

    void observe(duration latency);

    /// Mean in microseconds; nothing before the first answer.
    std::optional<double> mean() const;

    int samples() const
    {
        return samples_;
    }

    /// Forgets everything, so that the next answers count alone.
    void reset();

private:
    double weight_;
    double mean_ = 0;
    int samples_ = 0;
};

} // namespace vanillapost

#endif
