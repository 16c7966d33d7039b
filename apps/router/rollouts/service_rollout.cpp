#include "rollouts/service_rollout.hpp"

#include <utility>

namespace vanillapost::router {

namespace {

/// Targets that stop are listed for three of their reporting intervals, and
/// longer while the store is away.
constexpr duration stopped_listed_time = std::chrono::seconds(15);

entry_incarnation incarnation_of(const member& self)
{
    return {self.name, self.incarnation};
}

} // namespace

service_rollout::service_rollout(rollout_order order,
                                 const rollout_limits& limits,
                                 const cluster_view& cluster,
                                 random_engine& random, time_point now)
    : order_(std::move(order)), cluster_(cluster),
      split_(order_, limits, random),
      evidence_(incarnation_of(cluster.members.self()), order_.service,
                order_.revision, now)
{
}

version_side service_rollout::pick(time_point now)
{
    usable_versions usable;
    usable.current = cluster_.placer.usable_targets(
                         order_.service, {order_.target_version, true}) > 0;
    usable.target = has_usable_target();
    return split_.pick(usable, now);
}

version_side service_rollout::for_waiting(version_side picked,
                                          time_point now) const
{
    if (sends_all_to_target(now))
        return version_side::target;
    return target_share(now) > 0 ? picked : version_side::current;
}

version_side service_rollout::for_repeat(time_point now) const
{
    return sends_all_to_target(now) ? version_side::target
                                    : version_side::current;
}

bool service_rollout::uses_current(time_point now) const
{
    return !sends_all_to_target(now);
}

// Without any target of the version, requests are better sent to the others
// than refused; they are counted as in flight there.
bool service_rollout::sends_all_to_target(time_point now) const
{
    return target_share(now) >= 1 && has_usable_target();
}

std::optional<version_constraint>
service_rollout::constraint(version_side side, time_point now) const
{
    const bool completed = is_finished() && directive()->target_share > 0;
    if (!completed)
        return version_constraint{order_.target_version,
                                  side == version_side::current};
    const bool over = now >= finished_at_.value_or(now) + stopped_listed_time;
    if (over || !has_usable_target())
        return std::nullopt;
    return version_constraint{order_.target_version, false};
}

version_side service_rollout::side_of(std::string_view version) const
{
    return version == order_.target_version ? version_side::target
                                            : version_side::current;
}

void service_rollout::on_sent(std::string_view version)
{
    evidence_.on_sent(side_of(version));
}

void service_rollout::on_ended(std::string_view route, const target_id& target,
                               std::string_view version, bool good,
                               duration latency)
{
    evidence_.record(route, side_of(version), target, good, latency);
}

bool service_rollout::follow(const rollout_directive& directive, time_point now)
{
    const auto before = split_.directive();
    split_.follow(directive, now);
    const auto& after = split_.directive();
    if (is_finished() && !finished_at_)
        finished_at_ = now;
    return after && (!before || before->phase != after->phase ||
                     before->target_share != after->target_share);
}

bool service_rollout::is_finished() const
{
    return directive() && directive()->phase == rollout_phase::finished;
}

evidence_report service_rollout::make_report(time_point now)
{
    const auto version = directive() ? directive()->version : 0;
    return evidence_.own_report(in_flight_at_current(), version, now);
}

bool service_rollout::has_usable_target() const
{
    return cluster_.placer.usable_targets(order_.service,
                                          {order_.target_version, false}) > 0;
}

std::uint64_t service_rollout::in_flight_at_current() const
{
    return static_cast<std::uint64_t>(cluster_.placer.in_flight(
        order_.service, {order_.target_version, true}));
}

} // namespace vanillapost::router
