#include "vanillapost/src/admission/drain_meter.hpp"

#include <algorithm>

namespace vanillapost {

namespace {

/// Weight of the newest sample once enough have been seen.
constexpr double newest_weight = 0.05;

/// Gaps needed before they are trusted.
constexpr int fewest_gaps = 8;

/// Moves a mean towards a sample; the first samples count alike.
void blend(double& mean, int& samples, duration sample)
{
    ++samples;
    const double weight = std::max(newest_weight, 1.0 / samples);
    mean += weight * (static_cast<double>(sample.count()) - mean);
}

duration whole_microseconds(double value)
{
    return duration(static_cast<duration::rep>(value));
}

} // namespace

void drain_meter::on_completion(time_point now, duration took, bool waiting)
{
    blend(took_, completions_, took);
    if (last_)
        blend(gap_, gaps_, now - *last_);
    last_ = waiting ? std::optional(now) : std::nullopt;
}

void drain_meter::on_empty()
{
    last_.reset();
}

duration drain_meter::expected_wait(int position, int in_flight) const
{
    if (gaps_ >= fewest_gaps)
        return whole_microseconds(gap_ * position);
    return whole_microseconds(took_ * position / std::max(1, in_flight));
}

duration drain_meter::service_time() const
{
    return whole_microseconds(took_);
}

} // namespace vanillapost
