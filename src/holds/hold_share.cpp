// The part of hold_controller that says how much of a target may be used,
// and what other entries may rely on.

#include "vanillapost/src/holds/hold_controller.hpp"

#include <algorithm>

namespace vanillapost {

hold_share hold_controller::share(const target_id& target, int limit,
                                  time_point now) const
{
    const hold_row* row = table_.row(target);
    if (!row || row->holder != self_ || superseded() ||
        withdrawn(target, now)) {
        return {.usable = 0, .half = limit / 2};
    }
    return holder_share(*row, limit, now);
}

hold_share hold_controller::holder_share(const hold_row& row, int limit,
                                         time_point now) const
{
    hold_share result{.usable = limit / 2, .half = limit / 2};
    const auto pending = pending_.find(row.target);
    const bool unresolved = pending != pending_.end();
    if (unresolved) {
        const hold_write_kind kind = pending->second.write.kind;
        if (kind == hold_write_kind::erase) {
            result.usable = 0;
            return result;
        }
        if (kind == hold_write_kind::handover) {
            return result;
        }
    }
    if (row.previous || moving_.contains(row.target)) {
        return result;
    }
    // While a write is unresolved the successor in the row may be another
    // one than the one that promised.
    const time_point until =
        unresolved ? confirmation_.confirmed_until() : exclusive_until(row);
    if (now < until) {
        result.usable = limit;
        result.exclusive_deadline = until + settings_.grace;
    }
    return result;
}

time_point hold_controller::exclusive_until(const hold_row& row) const
{
    const time_point confirmed = confirmation_.confirmed_until();
    if (!row.successor) {
        return confirmed;
    }
    return std::max(confirmed, promises_.promised_until(*row.successor));
}

// A new successor waits for the confirmation to end and knows nothing of the
// old one's promise. Requests that rest on that promise must not be left.
bool hold_controller::promise_outlasts_confirmation(const hold_row& row) const
{
    return exclusive_until(row) > confirmation_.confirmed_until();
}

bool hold_controller::platform_confirms(time_point now) const
{
    return now < confirmation_.confirmed_until();
}

bool hold_controller::confirmed(time_point now) const
{
    if (platform_confirms(now)) {
        return true;
    }
    return std::any_of(table_.own().begin(), table_.own().end(),
                       [this, now](const target_id& target) {
                           const hold_row& row = *table_.row(target);
                           return row.holder == self_ &&
                                  now < exclusive_until(row);
                       });
}

std::vector<target_id> hold_controller::held_targets() const
{
    std::vector<target_id> result;
    for (const target_id& target : table_.own()) {
        if (table_.row(target)->holder == self_) {
            result.push_back(target);
        }
    }
    return result;
}

std::optional<entry_incarnation>
hold_controller::holder_of(const target_id& target) const
{
    const hold_row* row = table_.row(target);
    if (!row) {
        return std::nullopt;
    }
    return row->holder;
}

bool hold_controller::drained_to_leave() const
{
    const bool named =
        std::any_of(table_.own().begin(), table_.own().end(),
                    [this](const target_id& target) {
                        const hold_row& row = *table_.row(target);
                        return row.holder == self_ || row.previous == self_;
                    });
    const bool alone = live_entries().empty();
    return leaving_ && in_flight_.empty() &&
           (alone || (!named && pending_.empty()));
}

void hold_controller::ask_promises(time_point now)
{
    const time_point confirmed_from =
        confirmation_.confirmed_until() - settings_.lease;
    if (superseded() || now - confirmed_from < settings_.lease / 2) {
        return;
    }
    for (const target_id& target : table_.own()) {
        const hold_row& row = *table_.row(target);
        if (row.holder != self_ || !row.successor) {
            continue;
        }
        if (const auto id = promises_.ask(*row.successor, now)) {
            actions_.push_back(promise_ask_action{*row.successor, *id});
        }
    }
}

void hold_controller::on_promise_ask(const entry_incarnation& from,
                                     std::uint64_t id, time_point now)
{
    const bool granted = may_promise(from);
    if (granted) {
        promises_.grant(from, now);
    }
    actions_.push_back(promise_action{from, id, granted});
}

void hold_controller::on_promise(const entry_incarnation& from,
                                 std::uint64_t id, bool granted, time_point)
{
    promises_.on_answer(from, id, granted);
}

bool hold_controller::may_promise(const entry_incarnation& to) const
{
    if (superseded() || members_.ended_since(to)) {
        return false;
    }
    const bool taking =
        std::any_of(pending_.begin(), pending_.end(), [&to](const auto& item) {
            return item.second.write.from == to;
        });
    const bool taken =
        std::any_of(table_.own().begin(), table_.own().end(),
                    [this, &to](const target_id& target) {
                        const hold_row& row = *table_.row(target);
                        return row.holder == self_ && row.previous == to;
                    });
    return !taking && !taken;
}

bool hold_controller::withdrawn(const target_id& target, time_point now) const
{
    const auto missing = missing_since_.find(target);
    return targets_known_ && missing != missing_since_.end() &&
           now - missing->second >= settings_.withdraw_delay;
}

int hold_controller::in_flight(const target_id& target) const
{
    const auto found = in_flight_.find(target);
    return found == in_flight_.end() ? 0 : found->second;
}

} // namespace vanillapost
