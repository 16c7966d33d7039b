#include "vanillapost/src/members/member_table.hpp"

#include <algorithm>

namespace vanillapost {

member_table::member_table(member self, const member_table_settings& settings)
    : self_(std::move(self)), settings_(settings)
{
}

void member_table::on_known(const member& who, time_point now)
{
    if (who.name == self_.name)
        return;
    auto [found, added] = peers_.try_emplace(who.name);
    if (!added && found->second.heard)
        return;
    found->second.status.who = who;
    if (added)
        found->second.known_since = now;
}

bool member_table::on_status(const member_status& status, time_point now)
{
    if (status.who.name == self_.name)
        return false;
    auto [found, added] = peers_.try_emplace(status.who.name);
    auto& peer = found->second;
    if (added)
        peer.known_since = now;
    const bool changed =
        added || !is_live(peer, now) || peer.status.ready != status.ready ||
        peer.status.leaving != status.leaving || peer.status.who != status.who;
    peer.status = status;
    peer.heard = now;
    return changed;
}

bool member_table::on_withdrawn(const entry_id& name)
{
    const auto found = peers_.find(name);
    // A live process with that name has written a new row or soon does.
    if (found == peers_.end() || found->second.was_live)
        return false;
    peers_.erase(found);
    return true;
}

bool member_table::advance(time_point now)
{
    bool changed = false;
    for (auto& [name, peer] : peers_) {
        const bool live = is_live(peer, now);
        changed = changed || live != peer.was_live;
        peer.was_live = live;
    }
    for (const auto& gone : forgotten(now))
        peers_.erase(gone.name);
    return changed;
}

std::vector<member> member_table::peers() const
{
    std::vector<member> result;
    for (const auto& [name, peer] : peers_)
        result.push_back(peer.status.who);
    return result;
}

std::vector<member> member_table::ready_peers(time_point now) const
{
    std::vector<member> result;
    for (const auto& [name, peer] : peers_) {
        const auto& status = peer.status;
        if (is_live(peer, now) && status.ready && !status.leaving)
            result.push_back(status.who);
    }
    return result;
}

std::vector<member_status> member_table::live_peers(time_point now) const
{
    std::vector<member_status> result;
    for (const auto& [name, peer] : peers_)
        if (is_live(peer, now))
            result.push_back(peer.status);
    return result;
}

std::vector<member> member_table::forgotten(time_point now) const
{
    std::vector<member> result;
    for (const auto& [name, peer] : peers_) {
        const auto since = peer.heard.value_or(peer.known_since);
        if (now - since > settings_.forget_after)
            result.push_back(peer.status.who);
    }
    return result;
}

duration member_table::heartbeat_interval() const
{
    const auto members = static_cast<std::int64_t>(peers_.size() + 1);
    const auto full = static_cast<std::int64_t>(settings_.members_at_full_rate);
    return settings_.heartbeat * std::max(members, full) / full;
}

bool member_table::is_live(const entry& each, time_point now) const
{
    if (!each.heard || each.status.leaving)
        return false;
    const auto limit = settings_.silence_limit *
                       (heartbeat_interval().count()) /
                       settings_.heartbeat.count();
    return now - *each.heard <= limit;
}

} // namespace vanillapost
