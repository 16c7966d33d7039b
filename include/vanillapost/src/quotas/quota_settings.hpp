#ifndef VANILLAPOST_SRC_QUOTAS_QUOTA_SETTINGS_HPP
#define VANILLAPOST_SRC_QUOTAS_QUOTA_SETTINGS_HPP

#include "../base/time.hpp"

namespace vanillapost {

/// Times and bounds that keep the sum of all instances within a quota.
struct quota_settings
{
    /// Before a new owner grants. The previous owner has heard of it by then,
    /// and its tokens have expired.
    duration takeover_delay = std::chrono::milliseconds(250);
    /// An owner uses its own tokens for this time after a report that the other
    /// owner has answered.
    duration confirmation_time = std::chrono::seconds(1);
    /// A limit that is new is not enforced for this time: the owners may not
    /// know the configuration yet.
    duration new_limit_delay = std::chrono::seconds(1);
    /// Tokens that are granted before a window and used in it come on top of
    /// the window's refill, so they live much shorter than a window.
    duration token_lifetime = std::chrono::milliseconds(400);
    /// Requests of an organisation that all instances together may send on in
    /// five seconds without a grant.
    double total_reserve = 12;
};

} // namespace vanillapost

#endif
