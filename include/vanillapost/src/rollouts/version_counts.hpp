#ifndef VANILLAPOST_SRC_ROLLOUTS_VERSION_COUNTS_HPP
#define VANILLAPOST_SRC_ROLLOUTS_VERSION_COUNTS_HPP

#include "../base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace vanillapost {

/// Buckets of the latency histogram: the first takes all up to
/// `first_latency_bound`, each next one reaches `latency_bound_ratio` times as
/// far, the last takes the rest.
inline constexpr std::size_t latency_bucket_count = 14;
inline constexpr duration first_latency_bound = std::chrono::milliseconds(8);
inline constexpr double latency_bound_ratio = 1.75;

/// The bucket that a latency falls in.
std::size_t latency_bucket(duration latency);

/// Upper bound of a bucket; of the last one the largest time there is.
duration latency_bound(std::size_t bucket);

/// Answers of one version on one route.
struct version_counts
{
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    /// Good answers by latency; sums up to `good`.
    std::array<std::uint64_t, latency_bucket_count> latencies{};

    std::uint64_t answers() const
    {
        return good + bad;
    }

    /// Good answers that were slower than the upper bound of a bucket.
    std::uint64_t slower_than(std::size_t bucket) const;

    version_counts& operator+=(const version_counts& other);

    /// What was added since an earlier state; counts that fell give 0.
    version_counts since(const version_counts& earlier) const;

    bool operator==(const version_counts&) const = default;
};

} // namespace vanillapost

#endif
