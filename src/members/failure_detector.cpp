#include "vanillapost/src/members/failure_detector.hpp"

#include <algorithm>

namespace vanillapost {

failure_detector::failure_detector(const detector_settings& settings,
                                   random_engine random)
    : settings_(settings), random_(random)
{
}

std::vector<detector_action> failure_detector::advance(member_table& members,
                                                       time_point now)
{
    std::vector<detector_action> actions;
    const bool stalled =
        last_advance_ && now - *last_advance_ > settings_.stall_limit;
    last_advance_ = now;
    if (stalled) {
        pending_probes_.clear();
        suspicions_.clear();
    }
    expire_suspicions(now);
    check_answers(members, now, actions);
    if (now >= next_probe_) {
        next_probe_ = now + settings_.probe_interval;
        probe_next(members, now, actions);
    }
    return actions;
}

void failure_detector::on_message_from(const entry_id& from)
{
    pending_probes_.erase(from);
    suspicions_.erase(from);
}

std::vector<detector_action> failure_detector::on_suspicion(
    const entry_id& about, const std::string& incarnation, const entry_id& by,
    member_table& members, time_point now)
{
    std::vector<detector_action> actions;
    const auto* peer = members.find_probed(about);
    const bool is_relevant =
        peer && peer->incarnation == incarnation && by != members.self().name;
    if (!is_relevant)
        return actions;
    if (add_report(about, incarnation, by, now)) {
        declare_dead(about, incarnation, members, now, actions);
        return actions;
    }
    if (!pending_probes_.contains(about))
        probe(*peer, now, actions);
    return actions;
}

void failure_detector::probe(const member& peer, time_point now,
                             std::vector<detector_action>& actions)
{
    pending_probes_.insert_or_assign(peer.name, pending_probe{now, false});
    actions.emplace_back(send_probe{peer});
}

// Each round probes all members in a new random order, which bounds the time
// between two probes of a member.
void failure_detector::probe_next(const member_table& members, time_point now,
                                  std::vector<detector_action>& actions)
{
    const bool probe_dead = ++probe_count_ % settings_.dead_probe_period == 0;
    if (probe_dead) {
        const auto dead = members.dead_peers();
        if (!dead.empty()) {
            actions.emplace_back(send_probe{dead[random_() % dead.size()]});
            return;
        }
    }
    if (probe_order_.empty()) {
        probe_order_ = members.probed_peers();
        std::ranges::shuffle(probe_order_, random_);
    }
    while (!probe_order_.empty()) {
        const auto name = std::move(probe_order_.back());
        probe_order_.pop_back();
        const auto* peer = members.find_probed(name);
        if (!peer || pending_probes_.contains(name))
            continue;
        probe(*peer, now, actions);
        return;
    }
}

void failure_detector::check_answers(member_table& members, time_point now,
                                     std::vector<detector_action>& actions)
{
    std::vector<entry_id> unanswered;
    for (auto& [name, each] : pending_probes_) {
        const auto* peer = members.find_probed(name);
        if (!peer || now - each.sent >= settings_.answer_timeout) {
            unanswered.push_back(name);
            continue;
        }
        if (!each.retried && now - each.sent >= settings_.probe_retry_delay) {
            each.retried = true;
            actions.emplace_back(send_probe{*peer});
        }
    }
    for (const auto& name : unanswered) {
        pending_probes_.erase(name);
        if (const auto* peer = members.find_probed(name))
            suspect(*peer, members, now, actions);
    }
}

void failure_detector::suspect(const member& peer, member_table& members,
                               time_point now,
                               std::vector<detector_action>& actions)
{
    // Copies, since `peer` refers to an entry of the table that may change or
    // be removed when the member is declared dead.
    const auto name = peer.name;
    const auto incarnation = peer.incarnation;
    if (add_report(name, incarnation, members.self().name, now)) {
        declare_dead(name, incarnation, members, now, actions);
        return;
    }
    actions.emplace_back(send_suspicion{
        name, incarnation, choose_indirect_probers(name, members)});
}

void failure_detector::declare_dead(const entry_id& name,
                                    const std::string& incarnation,
                                    member_table& members, time_point now,
                                    std::vector<detector_action>& actions)
{
    if (members.on_declared_dead(name, incarnation, now))
        actions.emplace_back(broadcast_death{name, incarnation});
}

// Returns whether enough members suspect it by now.
bool failure_detector::add_report(const entry_id& about,
                                  const std::string& incarnation,
                                  const entry_id& by, time_point now)
{
    auto& found = suspicions_[about];
    if (found.incarnation != incarnation)
        found = {incarnation, {}};
    found.reporters.insert_or_assign(by, now);
    if (found.reporters.size() < settings_.suspicion_quorum)
        return false;
    suspicions_.erase(about);
    return true;
}

std::vector<member>
failure_detector::choose_indirect_probers(const entry_id& about,
                                          const member_table& members)
{
    std::vector<member> result;
    const auto live = members.probed_peers();
    if (live.empty())
        return result;
    constexpr std::size_t tries_per_prober = 3;
    for (std::size_t i = 0; i < settings_.indirect_probers * tries_per_prober;
         ++i) {
        if (result.size() == settings_.indirect_probers)
            break;
        const auto* peer = members.find_probed(live[random_() % live.size()]);
        const bool is_new =
            std::ranges::none_of(result, [&](const member& each) {
                return each.name == peer->name;
            });
        if (peer->name != about && is_new)
            result.push_back(*peer);
    }
    return result;
}

void failure_detector::expire_suspicions(time_point now)
{
    for (auto& [name, each] : suspicions_)
        std::erase_if(each.reporters, [&](const auto& by) {
            return now - by.second > settings_.suspicion_lifetime;
        });
    std::erase_if(suspicions_, [](const auto& each) {
        return each.second.reporters.empty();
    });
}

} // namespace vanillapost
