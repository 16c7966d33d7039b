#ifndef VANILLAPOST_SRC_ROLLOUTS_ROLLOUT_ORDER_HPP
#define VANILLAPOST_SRC_ROLLOUTS_ROLLOUT_ORDER_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"

#include <cstdint>
#include <string>

namespace vanillapost {

/// What the store says of a roll-out. `completed` and `rolled_back` are final.
enum class rollout_state
{
    serving,     ///< the roll-out runs, both versions may get requests
    completed,   ///< all requests go to the target version
    rolled_back, ///< no request goes to the target version
};

/// An operator's order to move a service's requests to another version.
struct rollout_order
{
    service_id service;
    std::string target_version;
    duration time_limit{}; ///< from the order to the deadline
    /// Revision of the order's row; a higher one replaces a lower one.
    std::uint64_t revision = 0;

    bool operator==(const rollout_order&) const = default;
};

/// What a version that isn't judged yet may cost; settings of the router.
struct rollout_limits
{
    /// Share of all requests from the order to the deadline, 0 to 1.
    double expose_share = 0.1;
    /// Requests beyond that share, from all instances together.
    double expose_slack = 50;
    /// From the answer that shows a bad version to its last request.
    duration rollback = std::chrono::seconds(5);

    bool operator==(const rollout_limits&) const = default;
};

} // namespace vanillapost

#endif
