#include "vanillapost/src/holds/hold_controller.hpp"
#include "hold_planner.hpp"

#include <algorithm>
#include <utility>

namespace vanillapost {

hold_controller::hold_controller(entry_incarnation self,
                                 data_centre_id data_centre,
                                 const hold_settings& settings,
                                 std::uint64_t seed)
    : self_(std::move(self)), data_centre_(std::move(data_centre)),
      settings_(settings), random_(seed), table_(self_),
      confirmation_(self_, settings_), promises_(settings_)
{
}

void hold_controller::tick(time_point now)
{
    promises_.forget_old(now);
    start_confirmation(now);
    start_watch_reads(now);
    ask_promises(now);
    resubmit(now);
    plan(now);
}

void hold_controller::set_targets(std::span<const hold_target> targets,
                                  time_point now)
{
    std::map<target_id, hold_target> by_name;
    for (const hold_target& target : targets) {
        by_name.emplace(target.name, target);
    }
    targets_known_ = true;
    if (by_name != targets_) {
        targets_ = std::move(by_name);
        targets_changed_ = true;
        note_missing_records(now);
    }
}

void hold_controller::set_in_flight(const target_id& target, int requests)
{
    if (requests == 0) {
        in_flight_.erase(target);
    } else {
        in_flight_[target] = requests;
    }
}

void hold_controller::on_instance_list(const instance_list& list,
                                       time_point asked_at, time_point now)
{
    members_.apply(list, asked_at, now);
}

void hold_controller::on_peer_up(const entry_incarnation& peer, time_point now)
{
    members_.note_named(peer, now);
}

void hold_controller::on_peer_ended(const entry_incarnation& peer,
                                    time_point now)
{
    members_.note_ended(peer, now);
}

void hold_controller::on_hint(time_point now)
{
    if (!superseded() && platform_confirms(now)) {
        start_read_changes();
    }
}

void hold_controller::start_leaving(time_point now)
{
    leaving_ = true;
    targets_changed_ = true;
    next_scan_ = now;
}

std::vector<hold_action> hold_controller::take_actions()
{
    return std::exchange(actions_, {});
}

void hold_controller::start_confirmation(time_point now)
{
    const confirmation::due due = confirmation_.start(now);
    if (std::holds_alternative<std::monostate>(due)) {
        return;
    }
    heartbeat_request_ = ++last_request_;
    if (const auto* read = std::get_if<confirmation::read_due>(&due)) {
        actions_.push_back(read_row_action{heartbeat_request_, read->key});
    } else {
        const auto& write = std::get<confirmation::write_due>(due);
        actions_.push_back(
            transact_action{heartbeat_request_, write.transaction});
    }
}

void hold_controller::start_read_changes()
{
    if (changes_request_ != 0) {
        changes_again_ = true;
        return;
    }
    changes_again_ = false;
    changes_confirm_from_ = confirmation_.written_from();
    changes_request_ = ++last_request_;
    actions_.push_back(read_changes_action{
        changes_request_, std::string(hold_prefix), changes_since_});
}

void hold_controller::start_watch_reads(time_point now)
{
    if (superseded() || now < next_watch_) {
        return;
    }
    next_watch_ = now + settings_.heartbeat_interval;
    for (const entry_id& name : heartbeats_.watched()) {
        const bool open = std::any_of(
            watch_requests_.begin(), watch_requests_.end(),
            [&name](const auto& item) { return item.second == name; });
        if (open) {
            continue;
        }
        watch_requests_[++last_request_] = name;
        actions_.push_back(read_row_action{last_request_, heartbeat_key(name)});
    }
}

void hold_controller::on_row(table_request_id id,
                             const platform_result<table_row>& result,
                             time_point now)
{
    if (id == heartbeat_request_) {
        heartbeat_request_ = 0;
        confirmation_.on_row(result, now);
        start_confirmation(now);
        return;
    }
    const auto found = watch_requests_.find(id);
    if (found == watch_requests_.end()) {
        return;
    }
    if (const auto* row = std::get_if<table_row>(&result)) {
        heartbeats_.on_row(found->second, *row, now);
    }
    watch_requests_.erase(found);
}

void hold_controller::on_changes(table_request_id id,
                                 const platform_result<table_changes>& result,
                                 time_point now)
{
    if (id != changes_request_) {
        return;
    }
    changes_request_ = 0;
    const auto from = std::exchange(changes_confirm_from_, std::nullopt);
    if (const auto* changes = std::get_if<table_changes>(&result)) {
        changes_known_ = true;
        changes_since_ = std::max(changes_since_, changes->latest);
        apply_rows(changes->rows, now);
        if (from) {
            confirmation_.confirm(*from);
        }
    }
    if (changes_again_) {
        start_read_changes();
    }
    plan(now);
}

void hold_controller::on_transact(table_request_id id,
                                  const transaction_result& result,
                                  time_point now)
{
    if (id == heartbeat_request_) {
        heartbeat_request_ = 0;
        on_heartbeat_answer(result, now);
        return;
    }
    const auto found = write_requests_.find(id);
    if (found == write_requests_.end()) {
        return;
    }
    const target_id target = found->second;
    write_requests_.erase(found);
    const auto pending = pending_.find(target);
    if (pending != pending_.end() && pending->second.request == id) {
        on_write_answer(pending->second, result, now);
        plan(now);
    }
}

void hold_controller::on_heartbeat_answer(const transaction_result& result,
                                          time_point now)
{
    if (confirmation_.on_write(result, now)) {
        start_read_changes();
    } else {
        start_confirmation(now);
    }
}

void hold_controller::apply_rows(std::span<const table_row> rows,
                                 time_point now)
{
    for (const table_row& row : rows) {
        apply_row(row, now);
    }
    note_missing_records(now);
}

void hold_controller::apply_row(const table_row& row, time_point now)
{
    if (!table_.apply(row)) {
        return;
    }
    const target_id target{row.key.substr(hold_prefix.size())};
    drop_settled_write(target);
    if (table_.row(target)) {
        unheld_since_.erase(target);
    }
    if (const hold_row* known = table_.row(target)) {
        members_.note_named(known->holder, now);
        if (known->successor) {
            members_.note_named(*known->successor, now);
        }
        if (known->previous) {
            members_.note_named(*known->previous, now);
        }
    }
}

void hold_controller::note_missing_records(time_point now)
{
    std::erase_if(missing_since_, [this](const auto& item) {
        return targets_.contains(item.first);
    });
    for (const target_id& target : table_.own()) {
        if (!targets_.contains(target)) {
            missing_since_.emplace(target, now);
        }
    }
    std::erase_if(unheld_since_, [this](const auto& item) {
        return !targets_.contains(item.first) || table_.row(item.first);
    });
    for (const auto& [target, record] : targets_) {
        const known_hold* known = table_.find(target);
        if (!known || (known->readable && !known->row)) {
            unheld_since_.emplace(target, now);
        }
    }
}

void hold_controller::update_assignment()
{
    if (assigned_version_ == members_.version() && !targets_changed_) {
        return;
    }
    assigned_version_ = members_.version();
    targets_changed_ = false;
    std::vector<hold_target> targets;
    for (const auto& [name, target] : targets_) {
        targets.push_back(target);
    }
    assignment_ = assignment(targets, live_entries());
}

void hold_controller::plan(time_point now)
{
    if (superseded() || !platform_confirms(now) || !changes_known_ ||
        !members_.known()) {
        moving_.clear();
        return;
    }
    update_assignment();
    detail::hold_planner planner(*this, now);
    planner.plan_own();
    if (now >= next_scan_) {
        next_scan_ = now + settings_.heartbeat_interval;
        planner.plan_others();
        heartbeats_.set_watched(planner.watched());
    }
    moving_ = planner.moving();
    for (const hold_write& write : planner.writes()) {
        const auto limit =
            static_cast<std::size_t>(settings_.max_pending_writes);
        if (pending_.size() < limit && !pending_.contains(write.target)) {
            submit(write);
        }
    }
}

std::vector<listed_instance> hold_controller::live_entries() const
{
    std::vector<listed_instance> result = members_.live();
    if (leaving_) {
        std::erase_if(result, [this](const listed_instance& entry) {
            return entry.who == self_;
        });
    }
    return result;
}

} // namespace vanillapost
