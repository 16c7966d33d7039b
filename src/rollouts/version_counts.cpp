#include "vanillapost/src/rollouts/version_counts.hpp"

#include <algorithm>
#include <numeric>

namespace vanillapost {

namespace {

using bounds = std::array<duration, latency_bucket_count>;

bounds make_bounds()
{
    bounds result;
    auto bound = first_latency_bound;
    for (auto& entry : result) {
        entry = bound;
        bound = scaled(bound, latency_bound_ratio);
    }
    result.back() = duration::max();
    return result;
}

const bounds& all_bounds()
{
    static const bounds result = make_bounds();
    return result;
}

/// Counts fall if a report is dropped; what was lost isn't counted again.
std::uint64_t rise(std::uint64_t now, std::uint64_t earlier)
{
    return now > earlier ? now - earlier : 0;
}

} // namespace

std::size_t latency_bucket(duration latency)
{
    const auto& bounds = all_bounds();
    const auto found = std::ranges::lower_bound(bounds, latency);
    return static_cast<std::size_t>(found - bounds.begin());
}

duration latency_bound(std::size_t bucket)
{
    return all_bounds().at(bucket);
}

std::uint64_t version_counts::slower_than(std::size_t bucket) const
{
    const auto first = std::min(bucket + 1, latency_bucket_count);
    return std::accumulate(latencies.begin() +
                               static_cast<std::ptrdiff_t>(first),
                           latencies.end(), std::uint64_t{0});
}

version_counts& version_counts::operator+=(const version_counts& other)
{
    good += other.good;
    bad += other.bad;
    for (std::size_t i = 0; i < latencies.size(); ++i)
        latencies[i] += other.latencies[i];
    return *this;
}

version_counts version_counts::since(const version_counts& earlier) const
{
    version_counts result;
    result.bad = rise(bad, earlier.bad);
    for (std::size_t i = 0; i < latencies.size(); ++i)
        result.latencies[i] = rise(latencies[i], earlier.latencies[i]);
    result.good = std::accumulate(result.latencies.begin(),
                                  result.latencies.end(), std::uint64_t{0});
    return result;
}

} // namespace vanillapost
