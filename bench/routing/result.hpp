#ifndef VANILLAPOST_BENCH_ROUTING_RESULT_HPP
#define VANILLAPOST_BENCH_ROUTING_RESULT_HPP

#include "scenario.hpp"

#include <algorithm>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace vanillapost::bench {

/// Outcome of one run, as the callers saw it.
struct run_result
{
    std::string policy;
    std::vector<duration> good; ///< latency from the intended start
    std::size_t failed = 0;     ///< refused or past the deadline
    std::size_t over_limit = 0; ///< arrivals at targets without a free slot
    std::size_t forwards = 0;
    double goodput = 0; ///< good answers as a share of capacity

    /// Latency that `share` of the requests do not exceed, in ms. A failed
    /// request counts as slower than any other; -1 when it is one.
    double quantile_ms(double share)
    {
        const auto total = good.size() + failed;
        const auto rank =
            static_cast<std::size_t>(share * static_cast<double>(total));
        if (rank >= good.size())
            return -1;
        const auto at = good.begin() + static_cast<std::ptrdiff_t>(rank);
        std::ranges::nth_element(good, at);
        return std::chrono::duration<double, std::milli>(*at).count();
    }
};

inline nlohmann::json to_json(const scenario& setting, run_result& result)
{
    return {{"user", setting.user},
            {"service", setting.service},
            {"load", setting.load},
            {"slow_target", setting.slow_target},
            {"policy", result.policy},
            {"p50_ms", result.quantile_ms(0.5)},
            {"p99_ms", result.quantile_ms(0.99)},
            {"p999_ms", result.quantile_ms(0.999)},
            {"goodput_share", result.goodput},
            {"failed", result.failed},
            {"over_limit", result.over_limit},
            {"forwards", result.forwards}};
}

} // namespace vanillapost::bench

#endif
