#ifndef VANILLAPOST_APPS_ROUTER_ROLLOUTS_SERVICE_ROLLOUT_HPP
#define VANILLAPOST_APPS_ROUTER_ROLLOUTS_SERVICE_ROLLOUT_HPP

#include "state/cluster_view.hpp"
#include "vanillapost/rollouts.hpp"

#include <optional>
#include <string_view>

namespace vanillapost::router {

/// One roll-out that is ordered, as this instance follows it: which versions
/// its requests go to, and what it has seen of both.
class service_rollout
{
public:
    service_rollout(rollout_order order, const rollout_limits& limits,
                    const cluster_view& cluster, random_engine& random,
                    time_point now);

    const rollout_order& order() const
    {
        return order_;
    }

    /// Picks the version for a new request.
    version_side pick(time_point now);

    /// The version for a request that waits to be sent for the first time.
    /// \param picked  by `pick`, maybe before the directive changed
    version_side for_waiting(version_side picked, time_point now) const;

    /// The version for a repeat or a hedge: it takes nothing from the share of
    /// the target version.
    version_side for_repeat(time_point now) const;

    /// Whether requests may still go to the current version.
    bool uses_current(time_point now) const;

    /// The targets that a request may go to; nullopt: any. That holds some time
    /// after the roll-out was completed: targets of the earlier version stop at
    /// once then, and are listed for a while longer.
    std::optional<version_constraint> constraint(version_side side,
                                                 time_point now) const;

    /// The side that a target with that version is on.
    version_side side_of(std::string_view version) const;

    /// Counts a request that was sent to a target.
    void on_sent(std::string_view version);

    /// Counts the end of a request at a target.
    /// \see rollout_evidence::record
    void on_ended(std::string_view route, const target_id& target,
                  std::string_view version, bool good, duration latency);

    /// Follows a directive of the instance that decides.
    /// \return whether its phase or share is new
    bool follow(const rollout_directive& directive, time_point now);

    /// The directive followed; nullopt before the first one.
    const std::optional<rollout_directive>& directive() const
    {
        return split_.directive();
    }

    /// Whether the store holds a final state, as the directive says.
    bool is_finished() const;

    evidence_report make_report(time_point now);

    double target_share(time_point now) const
    {
        return split_.target_share(now);
    }

    bool has_usable_target() const;

    /// Requests of this instance at targets of the current version.
    std::uint64_t in_flight_at_current() const;

    rollout_evidence& evidence()
    {
        return evidence_;
    }

private:
    bool sends_all_to_target(time_point now) const;

    rollout_order order_;
    const cluster_view& cluster_;
    version_split split_;
    rollout_evidence evidence_;
    std::optional<time_point> finished_at_; ///< when this instance knew
};

} // namespace vanillapost::router

#endif
