#include "vanillapost/src/attempts/return_time.hpp"

#include <algorithm>

namespace vanillapost {

namespace {

using namespace std::chrono_literals;

constexpr duration shortest_return = 150ms;
/// Room in an overload comes sooner than its estimate says.
constexpr duration longest_mean = 1s;
/// A caller that is told more gives up.
constexpr duration longest_return = 60s;

} // namespace

duration spread_return(const return_estimate& estimate, double share)
{
    if (!estimate.is_earliest) {
        const auto mean =
            std::clamp(estimate.wait, shortest_return, longest_mean);
        return scaled(mean, 0.5 + share);
    }
    const auto earliest =
        std::clamp(estimate.wait, shortest_return, longest_return);
    return earliest + scaled(std::min(earliest, longest_mean), share / 2);
}

} // namespace vanillapost
