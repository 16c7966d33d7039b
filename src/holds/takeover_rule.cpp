#include "vanillapost/src/holds/takeover_rule.hpp"

namespace vanillapost {

takeover_rule::takeover_rule(const entry_incarnation& taker,
                             const hold_settings& settings,
                             const liveness& members,
                             const heartbeat_watch& heartbeats,
                             const promise_book& promises)
    : taker_(taker), settings_(settings), members_(members),
      heartbeats_(heartbeats), promises_(promises)
{
}

takeover_rule::verdict takeover_rule::judge(const hold_row& row,
                                            time_point now) const
{
    if (row.holder == taker_) {
        return {};
    }
    const bool previous_over = !row.previous || work_over(*row.previous, now);
    if (work_over(row.holder, now)) {
        if (previous_over || row.previous == taker_) {
            return {.allowed = true};
        }
        return {.allowed = true, .previous = row.previous};
    }
    if (previous_over && holder_is_down_to_half(row, now)) {
        return {.allowed = true, .previous = row.holder};
    }
    return {};
}

bool takeover_rule::work_over(const entry_incarnation& who,
                              time_point now) const
{
    return members_.ended_for(who, settings_.work_end_wait(), now);
}

bool takeover_rule::silent(const entry_incarnation& who, time_point now) const
{
    const auto since = heartbeats_.silent_since(who);
    return since && now - *since >= settings_.takeover_wait();
}

bool takeover_rule::holder_is_down_to_half(const hold_row& row,
                                           time_point now) const
{
    const duration wait = settings_.takeover_wait();
    if (members_.ended_for(row.holder, wait, now)) {
        return true;
    }
    if (!silent(row.holder, now)) {
        return false;
    }
    if (!row.successor) {
        return true;
    }
    if (*row.successor == taker_) {
        return now >= promises_.bound_until(row.holder);
    }
    return members_.ended_for(*row.successor, wait, now);
}

} // namespace vanillapost
