#include "vanillapost/src/attempts/caller_patience.hpp"

#include <algorithm>

namespace vanillapost {

namespace {

constexpr std::size_t memory = 200;
/// First attempts of a route bear the same time, those of callers who came
/// back differ: a value is taken for the first when it is at least so common.
constexpr std::size_t common_share = 6;
constexpr std::size_t fewest_samples = 12;

} // namespace

void caller_patience::observe(duration left)
{
    recent_.push_back(left);
    ++counts_[left];
    if (recent_.size() <= memory)
        return;
    const auto oldest = counts_.find(recent_.front());
    if (--oldest->second == 0)
        counts_.erase(oldest);
    recent_.pop_front();
}

duration caller_patience::waited(duration left) const
{
    if (recent_.size() < fewest_samples)
        return duration::zero();
    const auto common = std::ranges::max_element(
        counts_, {}, [](const auto& each) { return each.second; });
    if (common->second * common_share < recent_.size())
        return duration::zero();
    return std::max(common->first - left, duration::zero());
}

} // namespace vanillapost
