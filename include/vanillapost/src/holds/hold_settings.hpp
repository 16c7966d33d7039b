#ifndef VANILLAPOST_SRC_HOLDS_HOLD_SETTINGS_HPP
#define VANILLAPOST_SRC_HOLDS_HOLD_SETTINGS_HPP

#include "../base/time.hpp"

namespace vanillapost {

/// Times of the holds protocol. All entries have to use the same values for
/// the first five, or the limits of targets are not kept.
struct hold_settings
{
    /// How long a confirmation or promise lasts.
    duration lease = std::chrono::milliseconds(1500);

    /// How long a request above half of the limit may outlast its
    /// confirmation.
    duration grace = std::chrono::milliseconds(500);

    /// Longest time that a request within half of the limit may run.
    duration max_attempt = std::chrono::seconds(5);

    /// What the clocks of two processes may differ by over one lease and
    /// grace, wall clocks of entries and targets included.
    duration clock_margin = std::chrono::milliseconds(100);

    duration heartbeat_interval = std::chrono::milliseconds(500);

    /// Time between two tries of a write that got no answer.
    duration resubmit_interval = std::chrono::milliseconds(500);

    /// The live entries have to be the same for this long before targets
    /// without a holder are claimed.
    duration claim_settle = std::chrono::seconds(1);

    /// How long a target is left to the entry that should claim it.
    duration claim_patience = std::chrono::seconds(2);

    /// The live entries have to be the same for this long before targets
    /// move to other entries.
    duration rebalance_settle = std::chrono::seconds(4);

    /// How long a record has to be missing before its row is erased.
    duration withdraw_delay = std::chrono::seconds(2);

    /// Row writes that wait for an answer at the same time.
    int max_pending_writes = 16;

    /// How long a taker has to wait after the last sign of exclusive use.
    duration takeover_wait() const
    {
        return lease + grace + clock_margin;
    }

    /// How long an entry has to be known as ended before its work is over.
    duration work_end_wait() const
    {
        return max_attempt + clock_margin;
    }
};

} // namespace vanillapost

#endif
