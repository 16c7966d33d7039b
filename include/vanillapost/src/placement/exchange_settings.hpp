#ifndef VANILLAPOST_SRC_PLACEMENT_EXCHANGE_SETTINGS_HPP
#define VANILLAPOST_SRC_PLACEMENT_EXCHANGE_SETTINGS_HPP

#include "../base/time.hpp"

#include <cstddef>

namespace vanillapost {

/// When a request leaves its data centre, and how many do. Shares are of the
/// targets of a service in a data centre; a target counts as free if one more
/// request is neither queued nor slows down others there.
///
/// Two data centres do not trade requests: one that is short sends only to
/// where clearly more is free, and one that is not sends only to where targets
/// are clearly faster.
struct exchange_settings
{
    /// Time that a round trip to another data centre adds, until it has been
    /// measured.
    duration initial_delay = std::chrono::milliseconds(4);
    /// Cost of a KiB from another data centre, as the time that a caller would
    /// wait to avoid it.
    duration delay_per_kib = std::chrono::milliseconds(5);
    /// With fewer targets here, the share that is free changes with each
    /// request and tells little: requests then go to where they cost least.
    std::size_t min_targets = 8;
    /// Free share below which a data centre is short, and from which on it is
    /// short no more.
    double short_below = 0.1;
    double enough_from = 0.2;
    /// Free share from which on a data centre receives requests of others that
    /// are short.
    double receives_from = 0.02;
    /// By how much the occupancy of slots here must exceed the one there, where
    /// this data centre is short. Free shares of two short ones hardly differ.
    double min_difference = 0.2;
    /// By how much a target elsewhere must be the better one for a request to
    /// leave, in service times: where this data centre is short, and where it
    /// has free targets.
    double min_gain_short = 0.05;
    double min_gain_slow = 0.75;
    /// What is free in a data centre is handed out once in this time. It is
    /// about the time from a probe until the request that it was made for shows
    /// in the target's next report; others do not see it before.
    duration amount_period = std::chrono::milliseconds(3);
};

} // namespace vanillapost

#endif
