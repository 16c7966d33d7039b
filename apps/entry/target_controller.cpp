#include "target_controller.hpp"

#include <algorithm>
#include <cassert>

namespace vanillapost::entry {

namespace {

constexpr std::size_t spare_connections = 4;

placement_policy make_policy(placement_kind kind)
{
    switch (kind) {
    case placement_kind::random:
        return random_placement{};
    case placement_kind::round_robin:
        return round_robin_placement{};
    case placement_kind::least_reported:
        return least_reported_placement{};
    case placement_kind::two_choices:
        return two_choices_placement{};
    case placement_kind::holds:
        break;
    }
    return held_placement{target_picker()};
}

target_picker* picker_of(placement_policy& policy)
{
    auto* held = std::get_if<held_placement>(&policy);
    return held ? &held->picker : nullptr;
}

bool contains(std::span<const target_id> list, const target_id& name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

} // namespace

target_controller::target_controller(
    io::event_loop& loop, const entry_settings& settings,
    const hold_settings& timing, hold_controller& holds,
    const record_set& records, random_engine& random, warmth_lookup was_warm)
    : loop_(loop), settings_(settings), timing_(timing), holds_(holds),
      records_(records), random_(random), was_warm_(std::move(was_warm))
{
}

target_controller::~target_controller() = default;

bool target_controller::takes_all() const
{
    return settings_.placement != placement_kind::holds;
}

placement_policy& target_controller::policy(const service_id& service)
{
    return policies_.try_emplace(service, make_policy(settings_.placement))
        .first->second;
}

void target_controller::on_records()
{
    const auto limits = share_limits(records_);
    std::vector<hold_target> known;
    for (const auto& [name, record] : records_.targets()) {
        take_record(record, limits.at(name));
        known.push_back(
            {name, record.service, record.data_centre, limits.at(name)});
    }
    drop_missing();
    holds_.set_targets(known, loop_.now());
    on_holds();
}

void target_controller::take_record(const target_record& record, int slots)
{
    auto& target = targets_[record.name];
    if (target.client && target.record.address != record.address)
        target.client.reset();
    target.record = record;
    target.slots = slots;
    apply_limits(target);
}

void target_controller::apply_limits(placed_target& target)
{
    if (!target.limiter)
        return;
    const bool out = !records_.takes_work(target.record);
    if (!out)
        target.limiter->change_limits(target.slots, target.record.cold_slots,
                                      target.record.connections);
    if (target.was_out && !out)
        target.limiter->mark_cold();
    target.was_out = out;
    target.limiter->set_leaving(out || !target.held);
}

void target_controller::drop_missing()
{
    for (auto& [name, target] : targets_) {
        if (records_.find(name))
            continue;
        target.slots = 0;
        if (target.limiter)
            target.limiter->set_leaving(true);
    }
}

void target_controller::on_holds()
{
    for (auto& [name, target] : targets_) {
        const auto holder = holds_.holder_of(name);
        const bool held = holds_.share(name, 2, loop_.now()).usable > 0;
        if (held && !target.held)
            start_holding(target);
        else if (!held && target.held)
            stop_holding(target);
        if (holder)
            last_holder_[name] = *holder;
    }
    std::erase_if(targets_, [this](const auto& item) {
        const auto& target = item.second;
        const bool busy =
            target.limiter && target.limiter->in_flight(loop_.now()) > 0;
        return !records_.find(item.first) && !target.held && !busy;
    });
    update_lists();
}

void target_controller::start_holding(placed_target& target)
{
    target.held = true;
    const bool known = target.limiter != nullptr;
    if (!known) {
        target.limiter = std::make_unique<target_limiter>(
            target_limiter_settings{.slots = target.slots,
                                    .cold_slots = target.record.cold_slots,
                                    .connections = target.record.connections,
                                    .grace = timing_.grace});
        target.was_out = !records_.takes_work(target.record);
    }
    // A target that the last holder had proven warm is not ramped up anew.
    const auto last = last_holder_.find(target.record.name);
    if (last != last_holder_.end() &&
        was_warm_(target.record.name, last->second))
        target.limiter->mark_warm();
    else
        target.limiter->mark_cold();
    apply_limits(target);
}

void target_controller::stop_holding(placed_target& target)
{
    target.held = false;
    apply_limits(target);
    if (auto* picker = picker_of(policy(target.record.service)))
        picker->remove(target.record.name);
}

void target_controller::update_lists()
{
    usable_.clear();
    for (auto& [name, target] : targets_) {
        const bool usable =
            takes_all() ? records_.takes_work(target.record) : target.held;
        if (usable)
            usable_[target.record.service].push_back(&target);
    }
}

void target_controller::tick()
{
    const auto now = loop_.now();
    for (auto& [name, target] : targets_) {
        if (target.limiter)
            report_in_flight(target, now);
    }
}

void target_controller::report_in_flight(placed_target& target, time_point now)
{
    holds_.set_in_flight(target.record.name, target.limiter->in_flight(now));
}

slot_share target_controller::share_of(const placed_target& target,
                                       time_point now) const
{
    const auto share = holds_.share(target.record.name, target.slots, now);
    return {.usable = share.usable,
            .half = share.half,
            .exclusive_until = share.exclusive_deadline - timing_.grace};
}

placement_option target_controller::option_for(placed_target& target,
                                               time_point now)
{
    placement_option option;
    option.own.target = target.record.name;
    option.own.local = target.record.data_centre == settings_.data_centre;
    option.reported_load = target.reported_load;
    if (takes_all()) {
        option.own.limit = target.slots;
        return option;
    }
    option.own.in_flight = target.limiter->in_flight(now);
    option.own.limit = target.limiter->limit(now, share_of(target, now));
    if (const auto oldest = target.limiter->oldest_start())
        option.own.oldest_age = now - *oldest;
    return option;
}

std::optional<target_place> target_controller::acquire(placed_target& target,
                                                       time_point deadline,
                                                       time_point now)
{
    deadline = std::min(deadline, now + timing_.max_attempt);
    target_place place{target.record.name, {0, deadline}, now};
    if (takes_all())
        return place;
    const auto ticket =
        target.limiter->try_acquire(now, share_of(target, now), deadline);
    if (!ticket)
        return std::nullopt;
    place.ticket = *ticket;
    report_in_flight(target, now);
    return place;
}

target_controller::option_list
target_controller::options_for(const service_id& service,
                               std::span<const target_id> tried)
{
    option_list result;
    const auto list = usable_.find(service);
    if (list == usable_.end())
        return result;
    const auto now = loop_.now();
    for (auto* target : list->second) {
        if (contains(tried, target->record.name))
            continue;
        result.options.push_back(option_for(*target, now));
        result.targets.push_back(target);
    }
    return result;
}

std::optional<target_place>
target_controller::place(const service_id& service, time_point deadline,
                         std::span<const target_id> tried)
{
    auto [options, targets] = options_for(service, tried);
    const auto now = loop_.now();
    auto& chosen_by = policy(service);
    while (const auto position =
               vanillapost::place(chosen_by, options, now, random_)) {
        if (auto place = acquire(*targets[*position], deadline, now)) {
            if (auto* picker = picker_of(chosen_by))
                picker->on_dispatch(place->target);
            return place;
        }
        // Its free slot is of no use for this deadline.
        options.erase(options.begin() + static_cast<long>(*position));
        targets.erase(targets.begin() + static_cast<long>(*position));
    }
    return std::nullopt;
}

std::optional<target_place>
target_controller::place_on_slow(const service_id& service, time_point deadline,
                                 std::span<const target_id> tried,
                                 duration wait)
{
    auto* picker = picker_of(policy(service));
    if (!picker || wait <= duration(0))
        return std::nullopt;
    std::vector<target_candidate> candidates;
    for (const auto& option : options_for(service, tried).options)
        candidates.push_back(option.own);
    const auto now = loop_.now();
    const auto chosen = picker->pick_slow(candidates, wait, now, random_);
    if (!chosen)
        return std::nullopt;
    auto place = acquire(targets_.at(*chosen), deadline, now);
    if (place)
        picker->on_dispatch(*chosen);
    return place;
}

void target_controller::finish(const target_place& place, target_answer answer)
{
    const auto found = targets_.find(place.target);
    if (found == targets_.end())
        return;
    auto& target = found->second;
    const auto now = loop_.now();
    if (auto* picker = picker_of(policy(target.record.service))) {
        // A cold target is slow by nature and already kept to its ramp; if it
        // were avoided as well, it would never become warm.
        const bool cold_answer = answer.how == completion::good &&
                                 answer.state == target_state::cold;
        if (answer.how == completion::cancelled || cold_answer)
            picker->on_cancelled(place.target);
        else
            picker->on_answer(place.target, now, answer.latency,
                              answer.quality);
        if (answer.how == completion::good && !cold_answer &&
            picker->stands_out(place.target, answer.latency))
            answer.how = completion::slow;
    }
    if (answer.state != target_state::unknown)
        target.judge.on_traffic(answer.state, now);
    if (!target.limiter || place.ticket.number == 0)
        return;
    target.limiter->finish(place.ticket, now, answer.how, answer.state);
    report_in_flight(target, now);
}

io::http_client& target_controller::client(const target_id& name)
{
    auto& target = targets_.at(name);
    if (!target.client) {
        io::http_client_limits limits;
        limits.max_connections =
            static_cast<std::size_t>(target.record.connections);
        limits.max_idle_connections =
            static_cast<std::size_t>(target.record.slots) + spare_connections;
        target.client = std::make_unique<io::http_client>(
            loop_, io::parse_address(target.record.address), limits);
    }
    return *target.client;
}

int target_controller::free_slots(const service_id& service)
{
    const auto list = usable_.find(service);
    if (list == usable_.end())
        return 0;
    const auto now = loop_.now();
    int free = 0;
    for (auto* target : list->second)
        free += takes_all()
                    ? target->slots
                    : target->limiter->free(now, share_of(*target, now));
    return free;
}

std::map<service_id, int> target_controller::free_slots()
{
    std::map<service_id, int> result;
    for (const auto& [service, list] : usable_)
        result[service] = free_slots(service);
    return result;
}

std::map<service_id, int> target_controller::held_slots() const
{
    std::map<service_id, int> result;
    for (const auto& [service, list] : usable_) {
        for (const auto* target : list) {
            if (records_.takes_work(target->record) &&
                !avoided(service, target->record.name))
                result[service] += target->slots;
        }
    }
    return result;
}

bool target_controller::avoided(const service_id& service,
                                const target_id& target) const
{
    const auto found = policies_.find(service);
    if (found == policies_.end())
        return false;
    const auto* held = std::get_if<held_placement>(&found->second);
    return held && held->picker.avoided(target, loop_.now());
}

std::vector<target_id> target_controller::cold_targets() const
{
    std::vector<target_id> result;
    for (const auto& [name, target] : targets_) {
        if (target.held && target.limiter && !target.limiter->warm())
            result.push_back(name);
    }
    return result;
}

std::optional<duration>
target_controller::median_latency(const service_id& service) const
{
    const auto found = policies_.find(service);
    if (found == policies_.end())
        return std::nullopt;
    const auto* held = std::get_if<held_placement>(&found->second);
    return held ? held->picker.median_latency() : std::nullopt;
}

void target_controller::set_reference(const service_id& service,
                                      std::optional<duration> median)
{
    if (auto* picker = picker_of(policy(service)))
        picker->set_reference(median);
}

} // namespace vanillapost::entry
