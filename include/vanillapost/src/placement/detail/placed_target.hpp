#ifndef VANILLAPOST_SRC_PLACEMENT_DETAIL_PLACED_TARGET_HPP
#define VANILLAPOST_SRC_PLACEMENT_DETAIL_PLACED_TARGET_HPP

#include "../../targets/listed_target.hpp"
#include "../rate_share.hpp"
#include "../target_knowledge.hpp"

#include <optional>

namespace vanillapost::detail {

/// A target with all that one instance chooses it by.
struct placed_target
{
    listed_target record;
    target_knowledge knowledge;
    /// Of the rate that it takes now, where that is bounded. Made on use:
    /// there are many targets and few such.
    mutable rate_share share;
    double cold_rate = 0;             ///< while it is cold
    std::optional<double> rate_limit; ///< that it has named
    double preference = 0; ///< of this instance; 0 is the most preferred
    bool usable = false;
};

} // namespace vanillapost::detail

#endif
