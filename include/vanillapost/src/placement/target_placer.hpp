#ifndef VANILLAPOST_SRC_PLACEMENT_TARGET_PLACER_HPP
#define VANILLAPOST_SRC_PLACEMENT_TARGET_PLACER_HPP

#include "../base/random.hpp"
#include "../targets/target_catalog.hpp"
#include "detail/candidate.hpp"
#include "detail/target_intake.hpp"
#include "placement_request.hpp"
#include "placement_settings.hpp"

#include <map>
#include <vector>

namespace vanillapost {

/// Chooses the target of each request.
///
/// A target that answers soon is one with a free slot on a machine that is
/// not slowed down by others right now. Both change within milliseconds, so
/// a few likely targets are probed just before the choice, unless their last
/// answers told it already.
class target_placer
{
public:
    target_placer(placement_settings settings, random_engine random);

    /// Takes over which targets may be used.
    /// \param cold_rates  requests a second that a cold target of a service
    ///                    bears
    void update(const target_catalog& catalog,
                const std::map<service_id, double>& cold_rates, time_point now);

    /// The members among which targets that take a bounded rate are divided.
    void set_members(std::vector<owner_candidate> members);

    placement_decision choose(const placement_request& request,
                              const placement_effort& effort, time_point now);

    /// Looks again at whether one target may be used.
    void refresh(const target_id& id, const target_catalog& catalog,
                 time_point now);

    /// Knowledge of a target; nothing when it is not listed any more.
    target_knowledge* find(const target_id& id);

    /// By how much work takes longer on a target now, with the requests that
    /// it has; 1 for one that is not known.
    double current_factor(const target_id& id, time_point now) const;

    /// Targets of a service that may be used.
    std::size_t usable_targets(const service_id& service) const;

private:
    std::vector<detail::candidate> rank(const placement_request& request,
                                        time_point now);
    bool may_use(detail::placed_target& each, const placement_request& request,
                 time_point now) const;
    bool must_recheck(const detail::placed_target& each, time_point now) const;
    void add_recheck(const placement_request& request, time_point now,
                     std::vector<target_id>& targets) const;
    std::optional<duration> first_turn(const service_id& service,
                                       time_point now) const;
    void take_record(detail::placed_target& each, const listed_target& record,
                     const target_catalog& catalog, time_point now) const;
    void take_rate_limit(detail::placed_target& each,
                         std::optional<double> limit, time_point now) const;
    void list_usable(const service_id& service);
    std::vector<target_id> suspects(const placement_request& request,
                                    time_point now) const;

    placement_settings settings_;
    random_engine random_;
    std::map<target_id, detail::placed_target> targets_;
    std::map<service_id, std::vector<detail::placed_target*>> services_;
    detail::target_intake intake_;
};

} // namespace vanillapost

#endif
