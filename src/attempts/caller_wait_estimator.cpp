#include "vanillapost/src/attempts/caller_wait_estimator.hpp"

#include <algorithm>

namespace vanillapost {

namespace {

constexpr std::size_t max_samples = 200;
/// On one route, requests that are sent for the first time have the same time
/// left, while those of returning callers differ. The most frequent value
/// counts as the timeout of first requests if at least one request in so many
/// has it.
constexpr std::size_t mode_share_divisor = 6;
constexpr std::size_t min_samples = 12;

} // namespace

void caller_wait_estimator::observe(duration left)
{
    recent_.push_back(left);
    ++counts_[left];
    if (recent_.size() <= max_samples)
        return;
    const auto oldest = counts_.find(recent_.front());
    if (--oldest->second == 0)
        counts_.erase(oldest);
    recent_.pop_front();
}

duration caller_wait_estimator::waited(duration left) const
{
    if (recent_.size() < min_samples)
        return duration::zero();
    const auto mode = std::ranges::max_element(
        counts_, {}, [](const auto& each) { return each.second; });
    if (mode->second * mode_share_divisor < recent_.size())
        return duration::zero();
    return std::max(mode->first - left, duration::zero());
}

} // namespace vanillapost
