#ifndef VANILLAPOST_SRC_LIMITS_SLOT_SHARE_HPP
#define VANILLAPOST_SRC_LIMITS_SLOT_SHARE_HPP

#include "../base/time.hpp"

namespace vanillapost {

/// What a hold is worth to its holder at one moment.
struct slot_share
{
    int usable = 0; ///< slots that the holder may use now
    int half = 0;   ///< slots that it may use while not alone

    /// Until when the holder knows itself to be alone.
    time_point exclusive_until{};

    /// Whether the holder knows at `now` that no other entry sends work.
    bool exclusive(time_point now) const
    {
        return usable > half && now < exclusive_until;
    }
};

} // namespace vanillapost

#endif
