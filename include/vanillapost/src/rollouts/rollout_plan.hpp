#ifndef VANILLAPOST_SRC_ROLLOUTS_ROLLOUT_PLAN_HPP
#define VANILLAPOST_SRC_ROLLOUTS_ROLLOUT_PLAN_HPP

#include "../base/time.hpp"
#include "rollout_directive.hpp"
#include "rollout_evidence.hpp"
#include "rollout_judge.hpp"
#include "rollout_order.hpp"

#include <optional>
#include <variant>

namespace vanillapost {

/// Nothing to write.
struct stay
{
    bool operator==(const stay&) const = default;
};

/// The state that the store should hold for the order. To be written only if
/// the row is still as it was read; asked for until the plan is told what the
/// store holds.
struct write_state
{
    rollout_state state = rollout_state::serving;

    bool operator==(const write_state&) const = default;
};

using rollout_step = std::variant<stay, write_state>;

/// What the decider knows at one moment.
struct rollout_view
{
    /// Age of the order, from `rollout_evidence::order_age`.
    duration order_age{};
    rollout_verdict verdict;
    evidence_totals totals;
    /// How far the directive given last has spread.
    directive_reach reach;
    bool target_usable = false; ///< the target version has usable targets
    /// What the store holds for this order; nullopt if it has no row for it.
    std::optional<rollout_state> stored;
};

/// Steers one roll-out: the share of the target version, and what is written.
///
/// Any instance that can write to the store may hold one and give directives;
/// which state becomes final is settled by the store alone, as the write is
/// conditional. A plan doesn't contradict a final state that it was told.
/// For a later order a new plan is made; the earlier one ends without a write.
/// An order that is withdrawn ends likewise, and its requests go back to the
/// current version as no directive holds any more.
class rollout_plan
{
public:
    rollout_plan(rollout_order order, rollout_limits limits);

    /// Takes note of a directive of another decider, so that this plan's next
    /// one replaces it, and a version that was stopped stays so.
    void observe(const rollout_directive& directive);

    /// Decides anew; to be called every 100 to 500 ms.
    rollout_step update(const rollout_view& view);

    /// To be sent to all instances after each `update`, also when it hasn't
    /// changed: instances follow only one that they have heard of late.
    const rollout_directive& directive() const
    {
        return directive_;
    }

    const rollout_order& order() const
    {
        return order_;
    }

    /// What stopped the roll-out; nullopt while nothing has.
    const std::optional<bad_version>& stopped_by() const
    {
        return stopped_by_;
    }

private:
    struct rate_sample
    {
        duration age{};
        std::uint64_t sent = 0;
    };

    rollout_step finish(rollout_state state);
    rollout_step stop(bad_version reason);
    rollout_step advance(const rollout_view& view);
    rollout_step give_up_or_wait(const rollout_view& view);
    rollout_step complete(const rollout_view& view);
    void give(rollout_phase phase, double target_share);
    void note_rate(const rollout_view& view);
    bool may_complete(const rollout_view& view) const;
    bool over_budget(const rollout_view& view) const;
    double requests_in(duration time) const;
    bool fits_budget(const rollout_view& view, double target_requests,
                     double all_requests, double part) const;
    bool fits_until_deadline(const rollout_view& view, double share) const;
    bool fits_trial(const rollout_view& view, double share) const;
    double raised_share(const rollout_view& view) const;
    void choose_share(const rollout_view& view);
    double planned_slack(const rollout_view& view) const;
    double planned_canary_share(const rollout_view& view) const;
    duration full_share_time(const rollout_view& view) const;
    duration remaining(const rollout_view& view) const;
    duration write_margin() const;

    rollout_order order_;
    rollout_limits limits_;
    rollout_directive directive_;
    std::optional<bad_version> stopped_by_;
    std::optional<rate_sample> rate_from_;
    double per_second_ = 0; ///< requests to both versions together
    bool completing_ = false;
    /// Age of the order when all requests were to go to the target version.
    std::optional<duration> switched_;
};

/// Least share of the requests that the target version gets in the canary
/// phase; more if a service has few requests.
double canary_share(const rollout_limits& limits);

} // namespace vanillapost

#endif
