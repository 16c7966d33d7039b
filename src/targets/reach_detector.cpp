#include "vanillapost/src/targets/reach_detector.hpp"

#include <algorithm>

namespace vanillapost {

void reach_detector::on_answer()
{
    silent_.clear();
    silent_since_.reset();
}

void reach_detector::on_silence(const target_id& target, time_point now)
{
    silent_since_ = silent_since_.value_or(now);
    // More than these tell nothing more.
    if (silent_.size() < min_silent_targets)
        silent_.insert(target);
}

bool reach_detector::is_cut_off(std::size_t listed, time_point now) const
{
    const auto needed = std::min(min_silent_targets, listed);
    return silent_since_ && needed > 0 && silent_.size() >= needed &&
           now - *silent_since_ >= min_silence;
}

} // namespace vanillapost
