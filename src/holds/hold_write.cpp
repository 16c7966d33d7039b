// The part of hold_controller that writes rows: submission, resubmission
// while there is no answer, and what an answer settles.

#include "vanillapost/src/holds/hold_controller.hpp"

namespace vanillapost {

namespace {

table_operation row_operation(const hold_write& write)
{
    table_operation result{.key = hold_key(write.target),
                           .expected = write.expected,
                           .what = table_operation::action::erase,
                           .value = {}};
    if (write.to) {
        result.what = table_operation::action::put;
        result.value = to_text(*write.to);
    }
    return result;
}

table_transaction transaction_for(const hold_write& write, std::string write_id)
{
    table_transaction result{.write_id = std::move(write_id),
                             .operations = {row_operation(write)}};
    if (write.from && write.heartbeat_expected) {
        result.operations.push_back({.key = heartbeat_key(write.from->name),
                                     .expected = *write.heartbeat_expected,
                                     .what = table_operation::action::check,
                                     .value = {}});
    }
    return result;
}

} // namespace

void hold_controller::submit(const hold_write& write)
{
    const std::string write_id = hold_key(write.target) + "/" +
                                 self_.name.value + "/" + self_.incarnation +
                                 "/" + std::to_string(++last_write_);
    const known_hold* known = table_.find(write.target);
    pending_hold_write pending{.write = write,
                               .transaction = transaction_for(write, write_id),
                               .seen_at = known ? known->at : 0};
    send(pending_.emplace(write.target, std::move(pending)).first->second);
}

void hold_controller::send(pending_hold_write& pending)
{
    pending.request = ++last_request_;
    write_requests_[pending.request] = pending.write.target;
    actions_.push_back(transact_action{pending.request, pending.transaction});
}

void hold_controller::resubmit(time_point now)
{
    if (superseded()) {
        return;
    }
    for (auto& [target, pending] : pending_) {
        if (pending.request == 0 && now >= pending.resubmit_at) {
            send(pending);
        }
    }
}

void hold_controller::on_write_answer(pending_hold_write& pending,
                                      const transaction_result& result,
                                      time_point now)
{
    pending.request = 0;
    if (std::holds_alternative<platform_unavailable>(result)) {
        // Spread out, so that the entries do not all come back at once.
        const auto spread =
            static_cast<std::uint32_t>(settings_.resubmit_interval.count());
        pending.resubmit_at =
            now + settings_.resubmit_interval + duration(random_(spread));
        return;
    }
    const hold_write write = pending.write;
    pending_.erase(write.target);
    if (const auto* done = std::get_if<transaction_done>(&result)) {
        finish_write(write, done->at);
        return;
    }
    for (const table_row& row : std::get<transaction_conflict>(result).rows) {
        apply_row(row, now);
        if (write.from && row.key == heartbeat_key(write.from->name)) {
            heartbeats_.on_row(write.from->name, row, now);
        }
    }
    start_read_changes();
}

void hold_controller::finish_write(const hold_write& write, revision at)
{
    if (table_.apply(write.target, at, write.to)) {
        unheld_since_.erase(write.target);
    }
    hint_named(write);
}

void hold_controller::drop_settled_write(const target_id& target)
{
    const auto pending = pending_.find(target);
    // The revision that the write expects can never come back, so it has
    // taken effect already or never will.
    if (pending != pending_.end() &&
        table_.find(target)->at > pending->second.seen_at) {
        pending_.erase(pending);
    }
}

void hold_controller::hint_named(const hold_write& write)
{
    if (!write.to) {
        return;
    }
    if (write.to->holder != self_) {
        actions_.push_back(hint_action{write.to->holder});
    } else if (write.kind == hold_write_kind::takeover && write.from) {
        actions_.push_back(hint_action{*write.from});
    }
}

} // namespace vanillapost
