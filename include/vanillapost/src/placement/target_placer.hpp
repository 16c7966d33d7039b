#ifndef VANILLAPOST_SRC_PLACEMENT_TARGET_PLACER_HPP
#define VANILLAPOST_SRC_PLACEMENT_TARGET_PLACER_HPP

#include "../base/random.hpp"
#include "../targets/target_catalog.hpp"
#include "detail/candidate.hpp"
#include "detail/target_admission.hpp"
#include "placement_request.hpp"
#include "placement_settings.hpp"

#include <map>
#include <vector>

namespace vanillapost {

/// Chooses the target of each request.
///
/// A target responds soon if it has a free slot and its machine is not slowed
/// down by other programs right now. Both change within milliseconds, so a few
/// likely targets are probed just before the choice, unless their last
/// responses are recent enough.
class target_placer
{
public:
    target_placer(placement_settings settings, random_engine random);

    /// Takes over the listed targets and which of them may be used.
    /// \param cold_rates  requests a second that a cold target of a service can
    ///                    handle
    void update(const target_catalog& catalog,
                const std::map<service_id, double>& cold_rates, time_point now);

    /// Sets the members among which the rate limits of targets are divided.
    void set_members(std::vector<owner_candidate> members);

    /// Chooses a target, or tells what has to happen first. If it returns
    /// `place_on`, the request counts against the target's rate limit.
    placement_decision choose(const placement_request& request,
                              const placement_options& options, time_point now);

    /// Updates whether one target may be used, and its rate limit.
    void refresh(const target_id& id, const target_catalog& catalog,
                 time_point now);

    /// The state of a target; null if it is not known (any more).
    target_status* find(const target_id& id);

    /// Records a round trip of a probe to a target: from sending on a
    /// connection to the head of the answer.
    void on_round_trip(const target_id& id, duration taken, time_point now);

    /// Services that began or ended to send requests to other data centres
    /// since the last call.
    std::vector<leaving_change> take_leaving_changes(time_point now)
    {
        return exchange_.take_changes(now);
    }

    /// The data centre of a target; nullptr if it is not known (any more).
    const data_centre_id* data_centre_of(const target_id& id) const;

    /// Factor by which work now takes longer on a target than on an idle
    /// machine at normal speed; 1 for an unknown target.
    double service_time_factor(const target_id& id, time_point now) const;

    /// Number of targets of a service that may be used.
    std::size_t usable_targets(const service_id& service) const;

    /// Number of them that a constraint admits.
    std::size_t usable_targets(const service_id& service,
                               const version_constraint& version) const;

    /// Number of requests of this instance in flight at the targets of a
    /// service that a constraint admits, listed or not.
    int in_flight(const service_id& service,
                  const version_constraint& version) const;

private:
    // The targets that a request may use, the best first.
    struct ranking
    {
        std::vector<detail::candidate> order;
        bool spare_capacity = false;
        std::optional<leaving_cause> cause; ///< why remote ones are among them
    };

    ranking rank(const placement_request& request,
                 const placement_options& options, time_point now);
    std::optional<leaving_cause>
    drop_remote(const placement_request& request,
                const placement_options& options,
                std::vector<detail::candidate>& order, time_point now);
    place_on place(const placement_request& request, const ranking& ranked,
                   const detail::candidate& chosen, time_point now);
    duration remote_delay(const detail::tracked_target& each) const;
    void retain_exchange();
    bool may_use(detail::tracked_target& each, const placement_request& request,
                 time_point now) const;
    bool must_recheck(const detail::tracked_target& each, time_point now) const;
    void add_recheck(const placement_request& request, time_point now,
                     std::vector<target_id>& targets) const;
    std::optional<duration> shortest_wait(const placement_request& request,
                                          time_point now) const;
    void apply_record(detail::tracked_target& each, const listed_target& record,
                      const target_catalog& catalog, time_point now) const;
    void apply_rate_limit(detail::tracked_target& each,
                          std::optional<double> limit, time_point now) const;
    void rebuild_usable(const service_id& service);
    std::vector<target_id> targets_to_recheck(const placement_request& request,
                                              time_point now) const;

    placement_settings settings_;
    random_engine random_;
    std::map<target_id, detail::tracked_target> targets_;
    std::map<service_id, std::vector<detail::tracked_target*>> services_;
    detail::target_admission admission_;
    data_centre_exchange exchange_;
};

} // namespace vanillapost

#endif
