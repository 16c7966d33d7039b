#ifndef VANILLAPOST_APPS_ROUTER_STATE_KNOWLEDGE_HPP
#define VANILLAPOST_APPS_ROUTER_STATE_KNOWLEDGE_HPP

#include "vanillapost/members.hpp"
#include "vanillapost/placement.hpp"
#include "vanillapost/routes.hpp"
#include "vanillapost/targets.hpp"

#include <memory>

namespace vanillapost::router {

/// What a router knows of its world: the configuration in force, the targets
/// and the members. Controllers write it, requests read it.
class knowledge
{
public:
    /// \param queue_per_slot  requests that targets let wait for each slot
    knowledge(const member& self, double queue_per_slot, random_engine random);

    /// Puts a configuration in force unless a newer one is.
    bool adopt(configuration config, time_point now);

    /// After changes of `targets`.
    void refresh_targets(time_point now);

    /// Up to which revision requests are placed by the targets' rows.
    void set_targets_revision(std::uint64_t revision)
    {
        targets_revision_ = revision;
    }

    std::uint64_t targets_revision() const
    {
        return targets_revision_;
    }

    /// After changes of `members`.
    void refresh_members(time_point now);

    /// This instance ends: its parts of targets' rates go to others, if there
    /// are any.
    void leave(time_point now);

    /// A caller has sent a request.
    void on_request(time_point now)
    {
        requested_at_ = now;
    }

    /// Looks whether this instance has become idle, or is so no more.
    /// \return whether that changed: peers have to know
    bool update_idle(time_point now);

    bool is_idle() const
    {
        return idle_;
    }

    /// An answer's word on the rate that its target takes.
    /// \see rate_limits::on_told
    rate_limit_news on_told_rate_limit(const target_id& target,
                                       std::int64_t born,
                                       std::optional<double> per_second,
                                       time_point asked_at, time_point now);

    /// What a peer knows of it.
    /// \return whether it was new
    bool on_peer_told_rate_limit(const rate_limit_note& told, time_point now);

    /// Whether requests can be routed at all.
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
    target_placer placer;
    part_picker parts;

private:
    std::map<service_id, double> cold_rates() const;

    route_table routes_;
    bool leaving_ = false;
    bool idle_ = false;
    std::uint64_t targets_revision_ = 0;
    time_point requested_at_{};
};

} // namespace vanillapost::router

#endif
