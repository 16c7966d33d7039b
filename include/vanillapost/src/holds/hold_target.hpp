#ifndef VANILLAPOST_SRC_HOLDS_HOLD_TARGET_HPP
#define VANILLAPOST_SRC_HOLDS_HOLD_TARGET_HPP

#include "../base/identifier.hpp"

namespace vanillapost {

/// What the holds protocol has to know about a target.
struct hold_target
{
    target_id name;
    service_id service;
    data_centre_id data_centre;
    int slots = 1; ///< limit in force

    bool operator==(const hold_target&) const = default;
};

} // namespace vanillapost

#endif
