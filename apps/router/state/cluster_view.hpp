#ifndef VANILLAPOST_APPS_ROUTER_STATE_CLUSTER_VIEW_HPP
#define VANILLAPOST_APPS_ROUTER_STATE_CLUSTER_VIEW_HPP

#include "vanillapost/members.hpp"
#include "vanillapost/placement.hpp"
#include "vanillapost/routes.hpp"
#include "vanillapost/targets.hpp"

#include <memory>

namespace vanillapost::router {

/// This router's view of the cluster: the configuration in force, the targets
/// and the members. Controllers update it, requests read it.
class cluster_view
{
public:
    /// \param queue_per_slot  requests that targets queue for each slot
    /// \param now             start of this instance
    cluster_view(const member& self, double queue_per_slot,
                 random_engine random, time_point now);

    /// Puts a configuration in force, unless one of the same or a newer version
    /// is.
    /// \return whether it was put in force
    bool adopt(configuration config, time_point now);

    /// Has to be called after changes of `targets`.
    void refresh_targets(time_point now);

    /// Sets up to which revision of the target table the placement of requests
    /// takes the rows into account.
    void set_targets_revision(std::uint64_t revision)
    {
        targets_revision_ = revision;
    }

    std::uint64_t targets_revision() const
    {
        return targets_revision_;
    }

    /// Has to be called after changes of `members`.
    void refresh_members(time_point now);

    /// Has to be called when this instance shuts down: its shares of the
    /// targets' rates pass to the other instances, if there are any.
    void leave(time_point now);

    /// Has to be called for each request of a caller.
    void on_request(time_point now)
    {
        last_request_at_ = now;
    }

    /// Checks whether this instance is idle.
    /// \return whether that changed, so that peers have to be told
    bool update_idle(time_point now);

    bool is_idle() const
    {
        return idle_;
    }

    /// Checks whether this instance is partitioned from all targets.
    /// \return whether that changed, so that peers have to be told
    bool update_reach(time_point now);

    bool is_cut_off() const
    {
        return cut_off_;
    }

    /// Applies the rate limit in a target's answer, or the lack of one.
    /// \see rate_limits::on_announced
    rate_limit_change on_rate_limit_announced(const target_id& target,
                                              std::int64_t start_unix_ms,
                                              std::optional<double> per_second,
                                              time_point asked_at,
                                              time_point now);

    /// Applies a rate limit of which a peer told.
    /// \return whether it was new
    bool on_rate_limit_relayed(const versioned_rate_limit& limit,
                               time_point now);

    /// Whether a configuration is in force, without which nothing is routed.
    bool is_configured() const
    {
        return routes_.config().version > 0;
    }

    const route_table& routes() const
    {
        return routes_;
    }

    target_catalog targets;
    member_table members;
    reach_detector reach;
    target_placer placer;
    part_picker parts;

private:
    std::map<service_id, double> cold_rates() const;

    route_table routes_;
    bool leaving_ = false;
    bool idle_ = false;
    bool cut_off_ = false;
    std::uint64_t targets_revision_ = 0;
    time_point last_request_at_{};
};

} // namespace vanillapost::router

#endif
