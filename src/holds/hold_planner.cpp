#include "hold_planner.hpp"

#include <algorithm>
#include <cassert>

namespace vanillapost::detail {

hold_planner::hold_planner(const hold_controller& controller, time_point now)
    : in_(controller), now_(now), rule_(in_.self_, in_.settings_, in_.members_,
                                        in_.heartbeats_, in_.promises_),
      live_(in_.live_entries())
{
}

void hold_planner::plan_own()
{
    for (const target_id& target : in_.table_.own()) {
        const hold_row& row = *in_.table_.row(target);
        if (row.holder == in_.self_) {
            plan_as_holder(row);
        } else if (row.previous == in_.self_) {
            plan_as_previous(row);
        } else {
            plan_takeover(row);
        }
    }
}

void hold_planner::plan_others()
{
    for (const auto& [target, known] : in_.table_.rows()) {
        if (known.row && !in_.table_.own().contains(target)) {
            plan_takeover(*known.row);
        }
    }
    for (const auto& [target, since] : in_.unheld_since_) {
        plan_claim(target);
    }
}

std::set<entry_id> hold_planner::watched() const
{
    std::set<entry_id> result;
    for (const auto& [target, known] : in_.table_.rows()) {
        if (!known.row) {
            continue;
        }
        const hold_row& row = *known.row;
        const bool orphan =
            !row.successor || in_.members_.ended_since(*row.successor);
        if (row.successor == in_.self_ || orphan) {
            result.insert(row.holder.name);
        }
        const auto desired = in_.assignment_.desired(target);
        if (row.holder == in_.self_ && desired) {
            result.insert(desired->name);
        }
    }
    if (in_.leaving_) {
        for (const listed_instance& entry : live_) {
            result.insert(entry.who.name);
        }
    }
    result.erase(in_.self_.name);
    return result;
}

void hold_planner::plan_as_holder(const hold_row& row)
{
    if (plan_clear_ended(row) || plan_erase(row) || plan_successor(row)) {
        return;
    }
    if (!row.previous && may_rebalance(row)) {
        plan_handover(row);
    }
}

void hold_planner::plan_as_previous(const hold_row& row)
{
    if (in_.in_flight(row.target) == 0) {
        hold_row to = row;
        to.previous.reset();
        propose(hold_write_kind::clear_own, row.target, std::move(to));
    }
}

void hold_planner::plan_takeover(const hold_row& row)
{
    const takeover_rule::verdict verdict = rule_.judge(row, now_);
    if (in_.leaving_ || !verdict.allowed) {
        return;
    }
    hold_row to{.target = row.target,
                .holder = in_.self_,
                .successor = successor_of(in_.self_),
                .previous = verdict.previous,
                .term = row.term + 1};
    propose(hold_write_kind::takeover, row.target, std::move(to));
    hold_write& write = writes_.back();
    write.from = row.holder;
    write.heartbeat_expected = in_.heartbeats_.revision_to_check(row.holder);
}

void hold_planner::plan_claim(const target_id& target)
{
    const hold_settings& settings = in_.settings_;
    const time_point settled =
        in_.members_.changed_at() + settings.claim_settle;
    if (in_.leaving_ || in_.table_.row(target) || now_ < settled) {
        return;
    }
    const time_point since = std::max(settled, in_.unheld_since_.at(target));
    // Others come in one by one, so that they do not all write at once.
    const auto patience =
        settings.claim_patience +
        duration(rendezvous_score(target.value, in_.self_.name) %
                 static_cast<std::uint64_t>(settings.claim_patience.count()));
    const bool desired = in_.assignment_.desired(target) == in_.self_;
    if (desired || now_ - since >= patience) {
        hold_row to{.target = target,
                    .holder = in_.self_,
                    .successor = successor_of(in_.self_)};
        propose(hold_write_kind::claim, target, std::move(to));
    }
}

bool hold_planner::plan_clear_ended(const hold_row& row)
{
    if (!row.previous ||
        !in_.members_.ended_for(*row.previous, in_.settings_.work_end_wait(),
                                now_)) {
        return false;
    }
    hold_row to = row;
    to.previous.reset();
    propose(hold_write_kind::clear_ended, row.target, std::move(to));
    return true;
}

bool hold_planner::plan_erase(const hold_row& row)
{
    if (row.previous || !in_.withdrawn(row.target, now_)) {
        return false;
    }
    if (in_.in_flight(row.target) == 0) {
        propose(hold_write_kind::erase, row.target, std::nullopt);
    }
    return true;
}

bool hold_planner::plan_successor(const hold_row& row)
{
    if (in_.leaving_ ||
        (row.successor && in_.members_.is_live(*row.successor)) ||
        in_.promise_outlasts_confirmation(row)) {
        return false;
    }
    hold_row to = row;
    to.successor = successor_of(in_.self_);
    if (!to.successor) {
        return false;
    }
    propose(hold_write_kind::replace_successor, row.target, std::move(to));
    return true;
}

void hold_planner::plan_handover(const hold_row& row)
{
    const auto to_entry = receiver(row);
    if (!to_entry) {
        return;
    }
    const auto target = in_.targets_.find(row.target);
    const int slots = target == in_.targets_.end() ? 0 : target->second.slots;
    if (target != in_.targets_.end()) {
        moving_services_.insert(target->second.service);
    }
    if (in_.in_flight(row.target) > slots / 2) {
        moving_.insert(row.target);
        return;
    }
    hold_row to = row;
    to.holder = *to_entry;
    to.successor = successor_of(*to_entry);
    to.previous = in_.self_;
    to.term = row.term + 1;
    propose(hold_write_kind::handover, row.target, std::move(to));
}

bool hold_planner::may_rebalance(const hold_row& row) const
{
    if (in_.leaving_) {
        return true;
    }
    const auto target = in_.targets_.find(row.target);
    return target != in_.targets_.end() &&
           in_.assignment_.desired(row.target) != in_.self_ &&
           now_ - in_.members_.changed_at() >= in_.settings_.rebalance_settle &&
           !service_is_moving(target->second.service);
}

bool hold_planner::service_is_moving(const service_id& service) const
{
    if (moving_services_.contains(service)) {
        return true;
    }
    return std::any_of(in_.targets_.begin(), in_.targets_.end(),
                       [&](const auto& item) {
                           if (item.second.service != service) {
                               return false;
                           }
                           const hold_row* row = in_.table_.row(item.first);
                           return row && row->previous;
                       });
}

std::optional<entry_incarnation>
hold_planner::receiver(const hold_row& row) const
{
    const auto desired = in_.assignment_.desired(row.target);
    if (desired && can_receive(*desired)) {
        return desired;
    }
    if (!in_.leaving_) {
        return std::nullopt;
    }
    std::optional<entry_incarnation> best;
    std::uint64_t best_score = 0;
    for (const listed_instance& entry : live_) {
        const auto score = rendezvous_score(row.target.value, entry.who.name);
        if (can_receive(entry.who) && (!best || score > best_score)) {
            best = entry.who;
            best_score = score;
        }
    }
    return best;
}

bool hold_planner::can_receive(const entry_incarnation& who) const
{
    return who != in_.self_ && in_.members_.is_live(who) &&
           in_.heartbeats_.beating(who, in_.settings_.lease, now_);
}

std::optional<entry_incarnation>
hold_planner::successor_of(const entry_incarnation& holder) const
{
    const listed_instance* listed = in_.members_.find(holder.name);
    const data_centre_id centre =
        listed ? listed->data_centre : in_.data_centre_;
    return choose_successor(holder, centre, live_);
}

void hold_planner::propose(hold_write_kind kind, const target_id& target,
                           std::optional<hold_row> to)
{
    const known_hold* known = in_.table_.find(target);
    // A claim must never replace a row: its holder may be using it.
    assert(kind != hold_write_kind::claim || !known || !known->row);
    writes_.push_back({.kind = kind,
                       .target = target,
                       .expected = known ? known->expected() : 0,
                       .to = std::move(to)});
}

} // namespace vanillapost::detail
