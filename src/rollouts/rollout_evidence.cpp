#include "vanillapost/src/rollouts/rollout_evidence.hpp"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace vanillapost {

namespace {

/// Routes that are kept apart in the sums; instances may name different ones.
constexpr std::size_t max_total_routes = 16;

std::size_t group_of(const target_id& target)
{
    const auto hash = XXH64(target.value.data(), target.value.size(), 0);
    return static_cast<std::size_t>(hash % target_group_count);
}

/// The route's own entry while there is room, else the pooled one.
route_evidence& entry_for(route_evidence_map& routes, std::string_view route,
                          std::size_t max_routes)
{
    if (const auto found = routes.find(route); found != routes.end())
        return found->second;
    const auto named = routes.size() - routes.count(pooled_route);
    const bool has_room = named < max_routes;
    return routes[std::string(has_room ? route : pooled_route)];
}

void add(evidence_totals& totals, const evidence_report& report)
{
    totals.sent_to_current += report.sent_to_current;
    totals.sent_to_target += report.sent_to_target;
    for (const auto& [route, evidence] : report.routes)
        entry_for(totals.routes, route, max_total_routes) += evidence;
}

} // namespace

version_counts route_evidence::all_target() const
{
    version_counts sum;
    for (const auto& group : target)
        sum += group;
    return sum;
}

route_evidence& route_evidence::operator+=(const route_evidence& other)
{
    current += other.current;
    for (std::size_t i = 0; i < target.size(); ++i)
        target.at(i) += other.target.at(i);
    return *this;
}

rollout_evidence::rollout_evidence(entry_incarnation self, service_id service,
                                   std::uint64_t order_revision, time_point now)
    : order_seen_(now)
{
    own_.instance = std::move(self);
    own_.service = std::move(service);
    own_.order_revision = order_revision;
}

void rollout_evidence::record(std::string_view route, version_side side,
                              const target_id& target, bool good,
                              duration latency)
{
    auto& evidence = entry_for(own_.routes, route, max_evidence_routes);
    auto& counts = side == version_side::current
                       ? evidence.current
                       : evidence.target.at(group_of(target));
    if (!good) {
        ++counts.bad;
        return;
    }
    ++counts.good;
    ++counts.latencies.at(latency_bucket(latency));
}

void rollout_evidence::on_sent(version_side side)
{
    if (side == version_side::current)
        ++own_.sent_to_current;
    else
        ++own_.sent_to_target;
}

evidence_report rollout_evidence::own_report(std::uint64_t in_flight_at_current,
                                             std::uint64_t directive_version,
                                             time_point now)
{
    ++own_.sequence;
    own_.order_age = order_age(now);
    own_.in_flight_at_current = in_flight_at_current;
    own_.directive_version = directive_version;
    return own_;
}

void rollout_evidence::merge(evidence_report report, time_point now)
{
    const bool concerns = report.service == own_.service &&
                          report.order_revision == own_.order_revision &&
                          report.instance != own_.instance;
    if (!concerns)
        return;
    order_seen_ = std::min(order_seen_, now - report.order_age);
    const auto held = reports_.find(report.instance);
    if (held == reports_.end()) {
        const auto instance = report.instance;
        if (reports_.size() < max_evidence_reporters)
            reports_.emplace(instance, std::move(report));
        return;
    }
    if (report.sequence > held->second.sequence)
        held->second = std::move(report);
}

evidence_totals rollout_evidence::totals() const
{
    evidence_totals totals;
    add(totals, own_);
    for (const auto& [instance, report] : reports_)
        add(totals, report);
    return totals;
}

directive_reach rollout_evidence::reach(std::span<const entry_incarnation> live,
                                        std::uint64_t directive_version,
                                        std::uint64_t own_in_flight) const
{
    directive_reach reach{1, 1, 1, own_in_flight};
    for (const auto& instance : live) {
        if (instance == own_.instance)
            continue;
        ++reach.live;
        const auto found = reports_.find(instance);
        if (found == reports_.end())
            continue;
        ++reach.reported;
        reach.in_flight_at_current += found->second.in_flight_at_current;
        if (found->second.directive_version >= directive_version)
            ++reach.seen;
    }
    return reach;
}

duration rollout_evidence::order_age(time_point now) const
{
    return std::max(now - order_seen_, duration::zero());
}

} // namespace vanillapost
