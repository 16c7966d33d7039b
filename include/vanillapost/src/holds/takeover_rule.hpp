#ifndef VANILLAPOST_SRC_HOLDS_TAKEOVER_RULE_HPP
#define VANILLAPOST_SRC_HOLDS_TAKEOVER_RULE_HPP

#include "../membership/liveness.hpp"
#include "heartbeat_watch.hpp"
#include "hold_row.hpp"
#include "hold_settings.hpp"
#include "promise_book.hpp"

#include <optional>

namespace vanillapost {

/// Decides whether an entry may take a row over from its holder.
///
/// At most two entries may have work on a target. So the taker comes in only
/// when at most one claimant is left, and only when that one can have no more
/// than half of the limit in flight: its confirmation and promises are over,
/// together with the requests that they allowed.
class takeover_rule
{
public:
    takeover_rule(const entry_incarnation& taker, const hold_settings& settings,
                  const liveness& members, const heartbeat_watch& heartbeats,
                  const promise_book& promises);

    /// The claimant that stays on as previous holder, if the takeover is
    /// allowed.
    struct verdict
    {
        bool allowed = false;
        std::optional<entry_incarnation> previous = std::nullopt;
    };

    verdict judge(const hold_row& row, time_point now) const;

private:
    bool work_over(const entry_incarnation& who, time_point now) const;
    bool silent(const entry_incarnation& who, time_point now) const;
    bool holder_is_down_to_half(const hold_row& row, time_point now) const;

    const entry_incarnation& taker_;
    const hold_settings& settings_;
    const liveness& members_;
    const heartbeat_watch& heartbeats_;
    const promise_book& promises_;
};

} // namespace vanillapost

#endif
