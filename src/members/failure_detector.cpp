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
    const bool stalled = turn_ && now - *turn_ > settings_.stall_limit;
    turn_ = now;
    if (stalled) {
        probes_.clear();
        doubted_.clear();
    }
    forget_old(now);
    check_answers(members, now, actions);
    if (now >= next_probe_) {
        next_probe_ = now + settings_.probe_interval;
        probe_next(members, now, actions);
    }
    return actions;
}

void failure_detector::on_heard(const entry_id& from)
{
    probes_.erase(from);
    doubted_.erase(from);
}

std::vector<detector_action>
failure_detector::on_doubt(const entry_id& about,
                           const std::string& incarnation, const entry_id& by,
                           member_table& members, time_point now)
{
    std::vector<detector_action> actions;
    const auto* known = members.find_probed(about);
    const bool matters =
        known && known->incarnation == incarnation && by != members.self().name;
    if (!matters)
        return actions;
    if (note_doubter(about, incarnation, by, now)) {
        declare(about, incarnation, members, now, actions);
        return actions;
    }
    if (!probes_.contains(about))
        probe(*known, now, actions);
    return actions;
}

void failure_detector::probe(const member& who, time_point now,
                             std::vector<detector_action>& actions)
{
    probes_.insert_or_assign(who.name, outstanding{now, false});
    actions.emplace_back(send_probe{who});
}

// In a new random order each round, so that no member waits for long.
void failure_detector::probe_next(const member_table& members, time_point now,
                                  std::vector<detector_action>& actions)
{
    const bool look_at_dead = ++probes_made_ % settings_.dead_member_every == 0;
    if (look_at_dead) {
        const auto dead = members.dead_peers();
        if (!dead.empty()) {
            actions.emplace_back(send_probe{dead[random_() % dead.size()]});
            return;
        }
    }
    if (order_.empty()) {
        order_ = members.probed_peers();
        std::ranges::shuffle(order_, random_);
    }
    while (!order_.empty()) {
        const auto name = std::move(order_.back());
        order_.pop_back();
        const auto* who = members.find_probed(name);
        if (!who || probes_.contains(name))
            continue;
        probe(*who, now, actions);
        return;
    }
}

void failure_detector::check_answers(member_table& members, time_point now,
                                     std::vector<detector_action>& actions)
{
    std::vector<entry_id> silent;
    for (auto& [name, each] : probes_) {
        const auto* who = members.find_probed(name);
        if (!who || now - each.sent >= settings_.answer_limit) {
            silent.push_back(name);
            continue;
        }
        if (!each.repeated && now - each.sent >= settings_.retry_after) {
            each.repeated = true;
            actions.emplace_back(send_probe{*who});
        }
    }
    for (const auto& name : silent) {
        probes_.erase(name);
        if (const auto* who = members.find_probed(name))
            doubt(*who, members, now, actions);
    }
}

void failure_detector::doubt(const member& who, member_table& members,
                             time_point now,
                             std::vector<detector_action>& actions)
{
    // The table forgets it, or changes it, when it turns out to be dead.
    const auto name = who.name;
    const auto incarnation = who.incarnation;
    if (note_doubter(name, incarnation, members.self().name, now)) {
        declare(name, incarnation, members, now, actions);
        return;
    }
    actions.emplace_back(
        send_doubt{name, incarnation, choose_helpers(name, members)});
}

void failure_detector::declare(const entry_id& name,
                               const std::string& incarnation,
                               member_table& members, time_point now,
                               std::vector<detector_action>& actions)
{
    if (members.on_dead(name, incarnation, now))
        actions.emplace_back(send_death{name, incarnation});
}

// Whether enough members doubt it now.
bool failure_detector::note_doubter(const entry_id& about,
                                    const std::string& incarnation,
                                    const entry_id& by, time_point now)
{
    auto& known = doubted_[about];
    if (known.incarnation != incarnation)
        known = {incarnation, {}};
    known.doubters.insert_or_assign(by, now);
    if (known.doubters.size() < settings_.doubters_needed)
        return false;
    doubted_.erase(about);
    return true;
}

std::vector<member>
failure_detector::choose_helpers(const entry_id& about,
                                 const member_table& members)
{
    std::vector<member> result;
    const auto live = members.probed_peers();
    if (live.empty())
        return result;
    constexpr std::size_t tries_for_each = 3;
    for (std::size_t i = 0; i < settings_.helpers * tries_for_each; ++i) {
        if (result.size() == settings_.helpers)
            break;
        const auto* who = members.find_probed(live[random_() % live.size()]);
        const bool new_one = std::ranges::none_of(
            result, [&](const member& each) { return each.name == who->name; });
        if (who->name != about && new_one)
            result.push_back(*who);
    }
    return result;
}

void failure_detector::forget_old(time_point now)
{
    for (auto& [name, each] : doubted_)
        std::erase_if(each.doubters, [&](const auto& by) {
            return now - by.second > settings_.doubt_lasts;
        });
    std::erase_if(doubted_, [](const auto& each) {
        return each.second.doubters.empty();
    });
}

} // namespace vanillapost
