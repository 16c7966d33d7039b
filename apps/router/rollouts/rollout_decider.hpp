#ifndef VANILLAPOST_APPS_ROUTER_ROLLOUTS_ROLLOUT_DECIDER_HPP
#define VANILLAPOST_APPS_ROUTER_ROLLOUTS_ROLLOUT_DECIDER_HPP

#include "rollouts/rollout_state_row.hpp"
#include "rollouts/service_rollout.hpp"

#include <span>

namespace vanillapost::router {

/// Decides on a roll-out while this instance is the one to do so. All that it
/// needs to know of earlier deciders is in the row of the store, the reports of
/// the instances and the directive that this one follows.
class rollout_decider
{
public:
    /// \param on_row  called when the store has answered about the row
    rollout_decider(io::event_loop& loop, io::row_store& store,
                    const row_schema& schema, const rollout_order& order,
                    const rollout_limits& limits,
                    std::function<void(std::string_view)> on_row);

    /// Decides anew, and writes to the store what has to stand there.
    /// \param live  the other instances
    /// \return the directive to give; null while the state of the roll-out is
    ///         not known
    const rollout_directive* decide(service_rollout& rollout,
                                    std::span<const entry_incarnation> live,
                                    time_point now);

    /// What stopped the roll-out; nullopt while nothing has.
    const std::optional<bad_version>& stopped_by() const
    {
        return plan_.stopped_by();
    }

    const std::optional<rollout_state>& stored() const
    {
        return row_.state();
    }

private:
    rollout_view make_view(service_rollout& rollout,
                           std::span<const entry_incarnation> live,
                           time_point now);

    rollout_plan plan_;
    rollout_judge judge_;
    rollout_state_row row_;
};

} // namespace vanillapost::router

#endif
