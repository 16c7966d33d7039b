#include "vanillapost/src/members/member_table.hpp"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace vanillapost {

member_table::member_table(member self, const member_table_settings& settings)
    : self_(std::move(self)), settings_(settings)
{
}

void member_table::on_identity(const member& who, time_point now)
{
    if (who.name == self_.name)
        return;
    auto [found, added] = peers_.try_emplace(who.name);
    auto& peer = found->second;
    if (!added && peer.who == who)
        return;
    // Another process under that name: state of the old one is invalid.
    peer = {};
    peer.who = who;
    peer.known_since = now;
    changed_ = true;
}

void member_table::on_listed(const member& who, time_point now)
{
    const auto found = peers_.find(who.name);
    const bool live = found != peers_.end() && is_live(found->second, now);
    if (!live)
        on_identity(who, now);
}

void member_table::on_peer_report(const member& who,
                                  const member_heartbeat& heartbeat,
                                  time_point now)
{
    on_listed(who, now);
    const auto found = peers_.find(who.name);
    if (found == peers_.end() || !heartbeat.is_probed ||
        found->second.last_heard)
        return;
    auto& peer = found->second;
    if (peer.dead_since || peer.who.incarnation != heartbeat.incarnation)
        return;
    peer.heartbeat = heartbeat;
    peer.reported_live = true;
}

bool member_table::on_declared_dead(const entry_id& name,
                                    const std::string& incarnation,
                                    time_point now)
{
    const auto found = peers_.find(name);
    if (found == peers_.end() || found->second.who.incarnation != incarnation)
        return false;
    auto& peer = found->second;
    if (peer.dead_since || !peer.heartbeat.is_probed ||
        was_heard(name, settings_.min_silence_before_death, now))
        return false;
    peer.dead_since = now;
    return true;
}

bool member_table::was_heard(const entry_id& name, duration within,
                             time_point now) const
{
    const auto found = peers_.find(name);
    return found != peers_.end() && found->second.last_heard &&
           now - *found->second.last_heard <= within;
}

bool member_table::is_dead(const entry_id& name) const
{
    const auto found = peers_.find(name);
    return found != peers_.end() && found->second.dead_since;
}

const member* member_table::find_live(const entry_id& name,
                                      time_point now) const
{
    const auto found = peers_.find(name);
    return found != peers_.end() && is_live(found->second, now)
               ? &found->second.who
               : nullptr;
}

const member* member_table::find_probed(const entry_id& name) const
{
    const auto found = peers_.find(name);
    if (found == peers_.end())
        return nullptr;
    const auto& peer = found->second;
    const bool known = peer.last_heard || peer.reported_live;
    const bool probed = known && peer.heartbeat.is_probed &&
                        !peer.heartbeat.leaving && !peer.dead_since;
    return probed ? &peer.who : nullptr;
}

std::vector<entry_id> member_table::probed_peers() const
{
    std::vector<entry_id> result;
    for (const auto& [name, peer] : peers_)
        if (find_probed(name))
            result.push_back(name);
    return result;
}

std::vector<member> member_table::dead_peers() const
{
    std::vector<member> result;
    for (const auto& [name, peer] : peers_)
        if (peer.dead_since && !peer.heartbeat.leaving)
            result.push_back(peer.who);
    return result;
}

// A sum of hashes does not depend on the order of the members.
std::uint64_t member_table::view_digest(time_point now) const
{
    const auto digest = [](const member& who) {
        const auto text = who.name.value + '\n' + who.incarnation;
        return XXH64(text.data(), text.size(), 0);
    };
    std::uint64_t sum = digest(self_);
    for (const auto& [name, peer] : peers_)
        if (is_live(peer, now))
            sum += digest(peer.who);
    constexpr std::uint64_t exact = (std::uint64_t{1} << 53) - 1;
    return std::max<std::uint64_t>(sum & exact, 1);
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
    found->second.last_heard = now;
    found->second.dead_since.reset();
    return true;
}

bool member_table::advance(time_point now)
{
    bool changed = std::exchange(changed_, false);
    for (auto& [name, peer] : peers_) {
        const bool live = is_live(peer, now);
        const bool ready = is_ready(peer, now);
        const bool active = ready && !peer.heartbeat.is_idle;
        changed = changed || live != peer.was_live || ready != peer.was_ready ||
                  active != peer.was_active;
        peer.was_live = live;
        peer.was_ready = ready;
        peer.was_active = active;
    }
    std::erase_if(peers_, [&](const auto& each) {
        const auto& peer = each.second;
        if (is_live(peer, now))
            return false;
        const auto last = peer.last_heard.value_or(peer.known_since);
        return now - peer.dead_since.value_or(last) > settings_.forget_after;
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

std::vector<peer_status> member_table::live_peers(time_point now) const
{
    std::vector<peer_status> result;
    for (const auto& [name, peer] : peers_)
        if (is_live(peer, now))
            result.push_back(
                {peer.who, peer.heartbeat,
                 peer.last_heard ? now - *peer.last_heard : duration::max()});
    return result;
}

std::vector<entry_id> member_table::missed_peers(time_point now) const
{
    std::vector<entry_id> result;
    for (const auto& [name, peer] : peers_) {
        const bool was_known =
            peer.last_heard || peer.reported_live || peer.dead_since;
        if (was_known && !peer.heartbeat.leaving && !is_live(peer, now))
            result.push_back(name);
    }
    return result;
}

std::vector<entry_id> member_table::leaving_peers() const
{
    std::vector<entry_id> result;
    for (const auto& [name, peer] : peers_)
        if (peer.heartbeat.leaving)
            result.push_back(name);
    return result;
}

std::vector<member> member_table::ready_peers(time_point now) const
{
    std::vector<member> result;
    for (const auto& [name, peer] : peers_)
        if (is_ready(peer, now))
            result.push_back(peer.who);
    return result;
}

std::vector<member> member_table::cut_off_peers(time_point now) const
{
    std::vector<member> result;
    for (const auto& [name, peer] : peers_)
        if (is_live(peer, now) && peer.heartbeat.ready &&
            peer.heartbeat.is_cut_off)
            result.push_back(peer.who);
    return result;
}

std::vector<member> member_table::active_peers(time_point now) const
{
    std::vector<member> result;
    for (const auto& [name, peer] : peers_)
        if (is_ready(peer, now) && !peer.heartbeat.is_idle)
            result.push_back(peer.who);
    return result;
}

bool member_table::is_ready(const entry& each, time_point now) const
{
    return is_live(each, now) && each.heartbeat.ready &&
           !each.heartbeat.is_cut_off;
}

bool member_table::is_live(const entry& each, time_point now) const
{
    if (each.heartbeat.leaving || (!each.last_heard && !each.reported_live))
        return false;
    if (each.heartbeat.is_probed)
        return !each.dead_since;
    const auto limit = std::chrono::duration_cast<duration>(
        heartbeat_interval() * settings_.max_missed_heartbeats);
    return now - *each.last_heard <= limit;
}

} // namespace vanillapost
