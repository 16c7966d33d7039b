#ifndef VANILLAPOST_SRC_PLACEMENT_DETAIL_TRACKED_TARGET_HPP
#define VANILLAPOST_SRC_PLACEMENT_DETAIL_TRACKED_TARGET_HPP

#include "../../targets/listed_target.hpp"
#include "../rate_share.hpp"
#include "../target_status.hpp"

#include <optional>

namespace vanillapost::detail {

/// A listed target with everything on which one instance bases its choice.
struct tracked_target
{
    listed_target record;
    target_status status;
    /// This instance's share of the target's rate limit, if it has one.
    /// Computed on first use, since few of the many targets are limited.
    mutable rate_share share;
    double cold_rate = 0;             ///< requests/s while the target is cold
    std::optional<double> rate_limit; ///< announced by the target; requests/s
    double preference = 0; ///< of this instance, 0 to 1; 0 is preferred most
    bool usable = false;
};

} // namespace vanillapost::detail

#endif
