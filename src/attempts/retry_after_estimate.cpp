#include "vanillapost/src/attempts/retry_after_estimate.hpp"

#include <algorithm>

namespace vanillapost {

namespace {

using namespace std::chrono_literals;

constexpr duration min_retry_after = 150ms;
/// In an overload, capacity becomes free sooner than estimated.
constexpr duration max_mean = 1s;
/// A caller that is asked to wait longer gives up.
constexpr duration max_retry_after = 60s;

} // namespace

duration jitter_retry_after(const retry_after_estimate& estimate, double share)
{
    if (!estimate.is_earliest) {
        const auto mean = std::clamp(estimate.wait, min_retry_after, max_mean);
        return scaled(mean, 0.5 + share);
    }
    const auto earliest =
        std::clamp(estimate.wait, min_retry_after, max_retry_after);
    return earliest + scaled(std::min(earliest, max_mean), share / 2);
}

} // namespace vanillapost
