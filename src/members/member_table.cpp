#include "vanillapost/src/members/member_table.hpp"

#include <algorithm>
#include <utility>

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
    auto& peer = found->second;
    if (!added && peer.who == who)
        return;
    // Another process under that name: what the old one said is void.
    peer = {};
    peer.who = who;
    peer.known_since = now;
    changed_ = true;
}

void member_table::on_listed(const member& who, time_point now)
{
    const auto found = peers_.find(who.name);
    const bool heard = found != peers_.end() && is_live(found->second, now);
    if (!heard)
        on_known(who, now);
}

bool member_table::on_heartbeat(const member_heartbeat& heartbeat,
                                time_point now)
{
    if (heartbeat.name == self_.name)
        return true;
    const auto found = peers_.find(heartbeat.name);
    if (found == peers_.end() ||
        found->second.who.incarnation != heartbeat.incarnation)
        return false;
    found->second.heartbeat = heartbeat;
    found->second.heard = now;
    return true;
}

bool member_table::advance(time_point now)
{
    bool changed = std::exchange(changed_, false);
    for (auto& [name, peer] : peers_) {
        const bool live = is_live(peer, now);
        const bool ready = live && peer.heartbeat.ready;
        changed = changed || live != peer.was_live || ready != peer.was_ready;
        peer.was_live = live;
        peer.was_ready = ready;
    }
    std::erase_if(peers_, [&](const auto& each) {
        const auto since = each.second.heard.value_or(each.second.known_since);
        return now - since > settings_.forget_after;
    });
    return changed;
}

std::vector<member> member_table::peers() const
{
    std::vector<member> result;
    for (const auto& [name, peer] : peers_)
        result.push_back(peer.who);
    return result;
}

std::vector<known_member> member_table::live_peers(time_point now) const
{
    std::vector<known_member> result;
    for (const auto& [name, peer] : peers_)
        if (is_live(peer, now))
            result.push_back({peer.who, peer.heartbeat, now - *peer.heard});
    return result;
}

std::vector<member> member_table::ready_peers(time_point now) const
{
    std::vector<member> result;
    for (const auto& [name, peer] : peers_)
        if (is_live(peer, now) && peer.heartbeat.ready)
            result.push_back(peer.who);
    return result;
}

duration member_table::heartbeat_interval() const
{
    const auto members = static_cast<std::int64_t>(peers_.size() + 1);
    const auto full = static_cast<std::int64_t>(settings_.members_at_full_rate);
    return std::min(settings_.heartbeat * std::max(members, full) / full,
                    settings_.longest_heartbeat);
}

bool member_table::is_live(const entry& each, time_point now) const
{
    if (!each.heard || each.heartbeat.leaving)
        return false;
    const auto limit = std::chrono::duration_cast<duration>(
        heartbeat_interval() * settings_.silence_heartbeats);
    return now - *each.heard <= limit;
}

} // namespace vanillapost
