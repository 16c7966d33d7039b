#ifndef VANILLAPOST_SRC_HOLDS_HOLD_PLANNER_HPP
#define VANILLAPOST_SRC_HOLDS_HOLD_PLANNER_HPP

#include "vanillapost/src/holds/hold_controller.hpp"
#include "vanillapost/src/holds/takeover_rule.hpp"

#include <set>
#include <vector>

namespace vanillapost::detail {

/// Which rows an entry ought to write, from what it knows now.
///
/// It keeps nothing between two plans: a plan that is no longer right is not
/// made again.
class hold_planner
{
public:
    hold_planner(const hold_controller& controller, time_point now);

    /// Plans for rows that name this entry.
    void plan_own();

    /// Plans for targets without a row, and for rows whose holder and
    /// successor have both ended.
    void plan_others();

    /// Entries whose heartbeat has to be read.
    std::set<entry_id> watched() const;

    const std::vector<hold_write>& writes() const
    {
        return writes_;
    }

    /// Targets that get no more than half of their limit until they can be
    /// handed over.
    const std::set<target_id>& moving() const
    {
        return moving_;
    }

private:
    void plan_as_holder(const hold_row& row);
    void plan_as_previous(const hold_row& row);
    void plan_takeover(const hold_row& row);
    void plan_claim(const target_id& target);
    bool plan_clear_ended(const hold_row& row);
    bool plan_erase(const hold_row& row);
    bool plan_successor(const hold_row& row);
    void plan_handover(const hold_row& row);
    bool may_rebalance(const hold_row& row) const;
    bool service_is_moving(const service_id& service) const;
    std::optional<entry_incarnation> receiver(const hold_row& row) const;
    bool can_receive(const entry_incarnation& who) const;
    std::optional<entry_incarnation>
    successor_of(const entry_incarnation& holder) const;
    void propose(hold_write_kind kind, const target_id& target,
                 std::optional<hold_row> to);

    const hold_controller& in_;
    time_point now_;
    takeover_rule rule_;
    std::vector<listed_instance> live_;
    std::vector<hold_write> writes_;
    std::set<target_id> moving_;
    std::set<service_id> moving_services_;
};

} // namespace vanillapost::detail

#endif
