#ifndef VANILLAPOST_BENCH_ROUTING_SCENARIO_HPP
#define VANILLAPOST_BENCH_ROUTING_SCENARIO_HPP

#include "vanillapost/base.hpp"
#include "vanillapost/records.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace vanillapost::bench {

/// One service of one user, and its load.
struct scenario
{
    std::string user;
    std::string service;
    request_class kind = request_class::lookup;
    std::size_t targets = 10;
    int slots = 2;
    std::size_t data_centres = 3;
    duration between_centres{}; ///< one way
    duration to_callers{};      ///< one way
    double mean_service_us = 0;
    duration deadline{};
    double load = 0.85;       ///< offered, as a share of capacity
    bool slow_target = false; ///< one target turns ten times slower
    std::size_t requests = 20'000;
    std::uint64_t seed = 1;

    /// Requests a second that all slots carry, network aside.
    double capacity() const
    {
        return static_cast<double>(targets) * slots * 1e6 / mean_service_us;
    }
};

inline constexpr std::size_t entry_count = 6;
inline constexpr double slow_factor = 10;
inline constexpr duration within_centre = std::chrono::microseconds(100);
inline constexpr duration report_interval = std::chrono::milliseconds(100);
inline constexpr duration status_interval = std::chrono::seconds(1);

/// Spread of service times: sigma of a log-normal distribution.
inline constexpr double service_sigma = 0.5;

/// The services of both users at their sizes of today.
inline std::vector<scenario> scenarios_of_today()
{
    using namespace std::chrono_literals;
    const scenario near{.user = "Trockenstiefel",
                        .service = "",
                        .slots = 2,
                        .data_centres = 3,
                        .between_centres = 1ms,
                        .to_callers = 1ms};
    const scenario far{.user = "Ndiaye",
                       .service = "",
                       .slots = 4,
                       .data_centres = 4,
                       .between_centres = 1500us,
                       .to_callers = 3ms};
    const auto service = [](scenario base, std::string name, request_class kind,
                            std::size_t targets) {
        constexpr double means_us[] = {25'000, 8'000, 80'000};
        constexpr duration deadlines[] = {2s, 500ms, 5s};
        base.service = std::move(name);
        base.kind = kind;
        base.targets = targets;
        base.mean_service_us = means_us[static_cast<std::size_t>(kind)];
        base.deadline = deadlines[static_cast<std::size_t>(kind)];
        return base;
    };
    return {service(near, "availability", request_class::lookup, 10),
            service(near, "booking", request_class::booking, 7),
            service(near, "archive", request_class::download, 10),
            service(far, "stock", request_class::lookup, 8),
            service(far, "orders", request_class::booking, 8),
            service(far, "catalogues", request_class::download, 10)};
}

} // namespace vanillapost::bench

#endif
