#include "state/knowledge.hpp"

namespace vanillapost::router {

namespace {

/// An instance that has had no request for this long leaves its shares of the
/// targets' rates to the other instances. Callers cache an answer of the
/// directory for longer than this.
constexpr duration idle_after = std::chrono::seconds(2);

placement_settings make_placement(const member& self, double queue_per_slot)
{
    placement_settings result;
    result.self = self.name;
    result.data_centre = self.data_centre;
    result.queue_per_slot = queue_per_slot;
    return result;
}

} // namespace

knowledge::knowledge(const member& self, double queue_per_slot,
                     random_engine random)
    : members(self), placer(make_placement(self, queue_per_slot), random)
{
    placer.set_members({{self.name, self.data_centre}});
}

bool knowledge::adopt(configuration config, time_point now)
{
    if (config.version <= routes_.config().version)
        return false;
    routes_ = route_table(std::move(config));
    parts.retain(routes_.config());
    refresh_targets(now);
    return true;
}

void knowledge::refresh_targets(time_point now)
{
    placer.update(targets, cold_rates(), now);
}

void knowledge::refresh_members(time_point now)
{
    auto owners = members.busy_peers(now);
    bool owns = !leaving_ && !idle_;
    if (owners.empty() && !owns) {
        owners = members.ready_peers(now);
        owns = !leaving_ || owners.empty();
    }
    if (owns)
        owners.push_back(members.self());
    std::vector<owner_candidate> candidates;
    for (const auto& each : owners)
        candidates.push_back({each.name, each.data_centre});
    placer.set_members(std::move(candidates));
}

bool knowledge::update_idle(time_point now)
{
    const bool idle =
        targets.limits().size() > 0 && now - last_request_at_ > idle_after;
    if (idle == idle_)
        return false;
    idle_ = idle;
    refresh_members(now);
    return true;
}

void knowledge::leave(time_point now)
{
    leaving_ = true;
    refresh_members(now);
}

rate_limit_news knowledge::on_told_rate_limit(const target_id& target,
                                              std::int64_t born,
                                              std::optional<double> per_second,
                                              time_point asked_at,
                                              time_point now)
{
    const auto change =
        targets.on_told_rate_limit(target, born, per_second, asked_at, now);
    if (change != rate_limit_news::none)
        placer.refresh(target, targets, now);
    return change;
}

bool knowledge::on_peer_told_rate_limit(const rate_limit_note& note,
                                        time_point now)
{
    const bool is_new = targets.on_peer_told_rate_limit(note, now);
    if (is_new)
        placer.refresh(note.target, targets, now);
    return is_new;
}

std::map<service_id, double> knowledge::cold_rates() const
{
    std::map<service_id, double> result;
    for (const auto& service : routes_.config().services)
        result.emplace(service.id, service.cold_requests_per_second);
    return result;
}

} // namespace vanillapost::router
