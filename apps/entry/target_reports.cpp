#include "target_controller.hpp"

#include <algorithm>

// What targets report and what is reported of them; limits and placement are
// in target_controller.cpp.

namespace vanillapost::entry {

void target_controller::on_probe(const target_id& name,
                                 const probe_result& result)
{
    const auto found = targets_.find(name);
    if (found == targets_.end() || !found->second.limiter)
        return;
    auto& limiter = *found->second.limiter;
    switch (found->second.judge.on_probe(result, loop_.now())) {
    case probe_verdict::nothing:
        break;
    case probe_verdict::cold:
        limiter.mark_cold();
        break;
    case probe_verdict::draining:
        limiter.on_state(target_state::draining);
        break;
    case probe_verdict::back:
        limiter.on_state(target_state::cold);
        break;
    case probe_verdict::unreachable:
        limiter.mark_cold();
        break;
    }
    if (result.reachable)
        limiter.on_alive(result.sent);
}

void target_controller::on_load_report(const target_id& name, int in_flight,
                                       int slots)
{
    const auto found = targets_.find(name);
    if (found == targets_.end())
        return;
    auto& target = found->second;
    target.reported_load = static_cast<double>(in_flight) / std::max(1, slots);
    if (auto* held =
            std::get_if<held_placement>(&policy(target.record.service)))
        held->picker.on_load_report(name, loop_.now(), in_flight, slots);
}

std::vector<target_id> target_controller::measured_targets() const
{
    std::vector<target_id> result;
    for (const auto& [service, list] : usable_) {
        for (const auto* target : list)
            result.push_back(target->record.name);
    }
    return result;
}

bool target_controller::has_free_slot(const service_id& service)
{
    return free_slots(service) > 0;
}

bool target_controller::alone(const target_id& target) const
{
    const auto share = holds_.share(target, 2, loop_.now());
    return share.usable > share.half;
}

bool target_controller::has(const target_id& target) const
{
    return targets_.contains(target);
}

nlohmann::json target_controller::status()
{
    nlohmann::json result = nlohmann::json::object();
    const auto now = loop_.now();
    for (auto& [name, target] : targets_) {
        if (!target.limiter)
            continue;
        const auto share = share_of(target, now);
        result[name.value] = {{"held", target.held},
                              {"slots", target.slots},
                              {"usable", share.usable},
                              {"limit", target.limiter->limit(now, share)},
                              {"in_flight", target.limiter->in_flight(now)},
                              {"warm", target.limiter->warm()},
                              {"draining", target.limiter->draining()}};
    }
    return result;
}

} // namespace vanillapost::entry
