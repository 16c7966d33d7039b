#ifndef VANILLAPOST_SRC_HOLDS_HOLD_SHARE_HPP
#define VANILLAPOST_SRC_HOLDS_HOLD_SHARE_HPP

#include "../base/time.hpp"

namespace vanillapost {

/// How much of a target's limit this entry may have in flight now.
///
/// A request may start when in-flight is below `usable`. If it raises
/// in-flight above `half`, its deadline must not be later than
/// \ref exclusive_deadline; otherwise it may run for `max_attempt`.
struct hold_share
{
    int usable = 0;
    int half = 0; ///< half of the limit, rounded down

    /// Latest deadline of a request that goes above `half`; grace included.
    /// Only meaningful when `usable > half`.
    time_point exclusive_deadline{};
};

} // namespace vanillapost

#endif
