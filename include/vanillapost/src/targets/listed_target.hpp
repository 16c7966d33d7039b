#ifndef VANILLAPOST_SRC_TARGETS_LISTED_TARGET_HPP
#define VANILLAPOST_SRC_TARGETS_LISTED_TARGET_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace vanillapost {

/// A target's entry in the platform's list, as the target wrote it.
struct listed_target
{
    target_id id;
    service_id service;
    std::string address; ///< IP number and port
    data_centre_id data_centre;
    int slots = 1; ///< requests that it processes concurrently
    bool draining = false;
    duration cold_left{}; ///< remaining time in which it can handle little
    /// Concurrent requests that it can handle while cold. If not set, the rate
    /// limit of its service for cold targets applies.
    std::optional<int> cold_slots;
    std::string version; ///< of its software; empty if it names none
    std::int64_t start_unix_ms =
        0;                     ///< wall-clock start time; identifies the start
    std::int64_t sequence = 0; ///< rises with each report of one start

    bool operator==(const listed_target&) const = default;
};

} // namespace vanillapost

#endif
