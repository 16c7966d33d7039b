#include "vanillapost/src/placement/round_trip_estimator.hpp"

#include <algorithm>

namespace vanillapost {

void round_trip_estimator::on_round_trip(duration taken, time_point now)
{
    if (taken < duration::zero())
        return;
    if (!current_ || now - began_ >= period) {
        previous_ = current_;
        current_ = taken;
        began_ = now;
    }
    current_ = std::min(*current_, taken);
    count_ = std::min(count_ + 1, min_count);
}

std::optional<duration> round_trip_estimator::shortest() const
{
    if (count_ < min_count)
        return std::nullopt;
    return std::min(*current_, previous_.value_or(*current_));
}

} // namespace vanillapost
