#ifndef VANILLAPOST_BENCH_REPLAY_LOAD_PATTERN_HPP
#define VANILLAPOST_BENCH_REPLAY_LOAD_PATTERN_HPP

#include "vanillapost/base.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillapost::bench {

/// One service and its load: targets whose machines are shared with others,
/// and callers who come back when they are refused.
struct load_pattern
{
    std::string user;
    std::string service;
    std::size_t instances = 1;
    std::size_t targets = 9;
    int slots = 2;
    int queue = 4; ///< requests that wait at a target; what comes then is lost
    double work_ms = 120;
    duration objective = std::chrono::milliseconds(300);
    duration patience = std::chrono::milliseconds(2500);
    int caller_attempts = 3;
    double slow_share = 0.25; ///< of machines that are slowed down now
    double per_second = 20;
    /// Half of the targets, and then the other half, turn requests away for
    /// that long and say so; zero for none.
    duration pause{};
    duration length = std::chrono::seconds(20);
    std::uint64_t seed = 7;

    /// Requests a second that all slots carry at the usual pace.
    double capacity() const
    {
        constexpr double ms_per_second = 1000;
        return static_cast<double>(targets) * slots * ms_per_second / work_ms;
    }
};

/// Some machines work four times slower for 300 ms at a time, and work takes
/// 1.7 times longer with the last slot in use.
inline constexpr double slow_factor = 4;
inline constexpr duration slow_length = std::chrono::milliseconds(300);
inline constexpr double knee_factor = 1.7;

/// The services of both users at their sizes of today.
inline std::vector<load_pattern> patterns_of_today()
{
    using namespace std::chrono_literals;
    const load_pattern near{
        .user = "Trockenstiefel", .service = "availability", .instances = 6};
    auto booking = near;
    booking.service = "booking";
    booking.targets = 7;
    booking.work_ms = 160;
    booking.objective = 400ms;
    load_pattern far{.user = "Ndiaye", .service = "stock", .instances = 6};
    far.targets = 8;
    far.slots = 4;
    far.queue = 8;
    far.slow_share = 0.35;
    auto orders = far;
    orders.service = "orders";
    orders.work_ms = 160;
    orders.objective = 400ms;
    return {near, booking, far, orders};
}

} // namespace vanillapost::bench

#endif
