#include "state/cluster_view.hpp"

namespace vanillapost::router {

namespace {

/// An instance that has had no request for this long leaves its shares of the
/// targets' rates to the other instances. Callers cache an answer of the
/// directory for longer than this.
constexpr duration idle_after = std::chrono::seconds(2);

placement_settings make_placement(const member& self, double queue_per_slot,
                                  time_point now)
{
    placement_settings result;
    result.self = self.name;
    result.started = now;
    result.data_centre = self.data_centre;
    result.queue_per_slot = queue_per_slot;
    return result;
}

} // namespace

cluster_view::cluster_view(const member& self, double queue_per_slot,
                           random_engine random, time_point now)
    : members(self), placer(make_placement(self, queue_per_slot, now), random)
{
    placer.set_members({{self.name, self.data_centre}});
}

bool cluster_view::adopt(configuration config, time_point now)
{
    if (config.version <= routes_.config().version)
        return false;
    routes_ = route_table(std::move(config));
    parts.retain(routes_.config());
    refresh_targets(now);
    return true;
}

void cluster_view::refresh_targets(time_point now)
{
    placer.update(targets, cold_rates(), now);
}

void cluster_view::refresh_members(time_point now)
{
    auto owners = members.active_peers(now);
    bool owns = !leaving_ && !idle_ && !cut_off_;
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

bool cluster_view::update_idle(time_point now)
{
    const bool idle =
        targets.limits().size() > 0 && now - last_request_at_ > idle_after;
    if (idle == idle_)
        return false;
    idle_ = idle;
    refresh_members(now);
    return true;
}

bool cluster_view::update_reach(time_point now)
{
    const bool cut_off = reach.is_cut_off(targets.all().size(), now);
    if (cut_off == cut_off_)
        return false;
    cut_off_ = cut_off;
    refresh_members(now);
    return true;
}

void cluster_view::leave(time_point now)
{
    leaving_ = true;
    refresh_members(now);
}

rate_limit_change cluster_view::on_rate_limit_announced(
    const target_id& target, std::int64_t start_unix_ms,
    std::optional<double> per_second, time_point asked_at, time_point now)
{
    const auto change = targets.on_rate_limit_announced(
        target, start_unix_ms, per_second, asked_at, now);
    if (change != rate_limit_change::none)
        placer.refresh(target, targets, now);
    return change;
}

bool cluster_view::on_rate_limit_relayed(const versioned_rate_limit& limit,
                                         time_point now)
{
    const bool is_new = targets.on_rate_limit_relayed(limit, now);
    if (is_new)
        placer.refresh(limit.target, targets, now);
    return is_new;
}

std::map<service_id, double> cluster_view::cold_rates() const
{
    std::map<service_id, double> result;
    for (const auto& service : routes_.config().services)
        result.emplace(service.id, service.cold_requests_per_second);
    return result;
}

} // namespace vanillapost::router
