#include "vanillapost/src/routing/latency_tracker.hpp"

#include <algorithm>
#include <cassert>

namespace vanillapost {

latency_tracker::latency_tracker(double weight) : weight_(weight)
{
    assert(weight > 0 && weight <= 1);
}

void latency_tracker::observe(duration latency)
{
    ++samples_;
    // The first answers count alike, so that none of them dominates.
    const double weight = std::max(weight_, 1.0 / samples_);
    mean_ += weight * (static_cast<double>(latency.count()) - mean_);
}

std::optional<double> latency_tracker::mean() const
{
    if (samples_ == 0)
        return std::nullopt;
    return mean_;
}

void latency_tracker::reset()
{
    mean_ = 0;
    samples_ = 0;
}

} // namespace vanillapost
