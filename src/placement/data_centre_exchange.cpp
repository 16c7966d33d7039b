#include "vanillapost/src/placement/data_centre_exchange.hpp"

#include <algorithm>
#include <utility>

namespace vanillapost {

namespace {

const data_centre_room* find(std::span<const data_centre_room> rooms,
                             const data_centre_id& which)
{
    const auto found =
        std::ranges::find(rooms, which, &data_centre_room::data_centre);
    return found == rooms.end() ? nullptr : &*found;
}

leaving_permit permit_all(std::span<const data_centre_room> rooms,
                          leaving_cause cause)
{
    leaving_permit result;
    result.cause = cause;
    for (const auto& each : rooms)
        result.destinations.push_back(each.data_centre);
    return result;
}

} // namespace

std::string_view to_string(leaving_cause cause)
{
    switch (cause) {
    case leaving_cause::short_here:
        return "short here";
    case leaving_cause::slow_here:
        return "slow here";
    case leaving_cause::few_here:
        return "few here";
    case leaving_cause::none_here:
        break;
    }
    return "none here";
}

data_centre_exchange::data_centre_exchange(exchange_settings settings,
                                           data_centre_id here)
    : settings_(settings), here_(std::move(here))
{
}

void data_centre_exchange::retain(const std::set<service_id>& services,
                                  const std::set<data_centre_id>& data_centres)
{
    std::erase_if(services_, [&](const auto& each) {
        return !services.contains(each.first);
    });
    for (auto& [service, state] : services_)
        std::erase_if(state.allowances, [&](const auto& each) {
            return !data_centres.contains(each.first);
        });
    std::erase_if(round_trips_, [&](const auto& each) {
        return !data_centres.contains(each.first);
    });
}

void data_centre_exchange::set_instances(std::size_t instances)
{
    instances_ = std::max<std::size_t>(instances, 1);
}

void data_centre_exchange::on_round_trip(const data_centre_id& there,
                                         duration taken, time_point now)
{
    round_trips_[there].on_round_trip(taken, now);
}

duration data_centre_exchange::delay_to(const data_centre_id& there) const
{
    const auto far = round_trips_.find(there);
    const auto near = round_trips_.find(here_);
    if (far == round_trips_.end() || near == round_trips_.end())
        return settings_.initial_delay;
    const auto shortest_far = far->second.shortest();
    const auto shortest_near = near->second.shortest();
    if (!shortest_far || !shortest_near)
        return settings_.initial_delay;
    return std::max(*shortest_far - *shortest_near, duration::zero());
}

std::optional<leaving_permit>
data_centre_exchange::decide(const leaving_request& request,
                             std::span<const data_centre_room> rooms,
                             time_point now)
{
    const auto* here = find(rooms, here_);
    if (!here || here->eligible == 0)
        return permit_all(rooms, leaving_cause::none_here);
    if (here->listed < settings_.min_targets)
        return permit_all(rooms, leaving_cause::few_here);
    auto& state = services_[request.service];
    update_short(state, here->free_share);
    return weigh(request, state, *here, rooms, now);
}

void data_centre_exchange::update_short(service_state& state,
                                        double free_share) const
{
    const double limit =
        state.is_short ? settings_.enough_from : settings_.short_below;
    state.is_short = free_share < limit;
}

std::optional<leaving_permit>
data_centre_exchange::weigh(const leaving_request& request,
                            service_state& state, const data_centre_room& here,
                            std::span<const data_centre_room> rooms,
                            time_point now) const
{
    // What is known of the targets here is not recent enough to call them slow.
    const bool may_be_slow = here.any_fresh || request.final_choice;
    if (!state.is_short && !may_be_slow)
        return std::nullopt;
    const auto short_ones = std::ranges::count_if(rooms, [&](const auto& each) {
        return each.data_centre != here_ && each.eligible > 0 &&
               each.free_share < settings_.short_below;
    });
    const double senders =
        static_cast<double>(instances_) * static_cast<double>(1 + short_ones);
    const bool late_here = here.best_expected > request.budget_us;
    leaving_permit result;
    result.cause =
        state.is_short ? leaving_cause::short_here : leaving_cause::slow_here;
    for (const auto& each : rooms) {
        if (each.data_centre == here_ || each.eligible == 0)
            continue;
        const bool in_time = each.best_expected <= request.budget_us;
        const double min_gain = state.is_short || (late_here && in_time)
                                    ? settings_.min_gain_short
                                    : settings_.min_gain_slow;
        const bool pays =
            each.best_cost + min_gain * request.work_us < here.best_cost;
        if (!pays || !has_room(state, here, each) ||
            !has_allowance(state, each, senders, now))
            continue;
        result.destinations.push_back(each.data_centre);
        result.min_gain = std::max(result.min_gain, min_gain);
    }
    if (result.destinations.empty())
        return std::nullopt;
    return result;
}

// While there are free targets here, a request leaves only to where there are
// clearly more.
bool data_centre_exchange::has_room(const service_state& state,
                                    const data_centre_room& here,
                                    const data_centre_room& there) const
{
    if (!state.is_short)
        return there.free_share >= settings_.enough_from;
    return there.free_share >= settings_.receives_from &&
           there.occupancy <= here.occupancy - settings_.min_difference;
}

// Those who send at the same time do not know of each other, so each has an
// equal part of what is free there.
bool data_centre_exchange::has_allowance(service_state& state,
                                         const data_centre_room& there,
                                         double senders, time_point now) const
{
    const double part = there.free_slots / senders;
    const double most = std::max(part, 1.0);
    auto [found, added] = state.allowances.try_emplace(there.data_centre);
    auto& amount = found->second;
    const auto passed =
        added ? settings_.amount_period : now - amount.filled_at;
    const double periods = static_cast<double>(passed.count()) /
                           static_cast<double>(settings_.amount_period.count());
    amount.left = std::min(amount.left + part * periods, most);
    amount.filled_at = now;
    return amount.left >= 1;
}

void data_centre_exchange::on_left(const service_id& service,
                                   const data_centre_id& there,
                                   leaving_cause cause, time_point now)
{
    auto& state = services_[service];
    const auto found = state.allowances.find(there);
    if (found != state.allowances.end() && cause != leaving_cause::none_here)
        found->second.left = std::max(found->second.left - 1, 0.0);
    if (!state.is_leaving)
        changes_.push_back({service, cause});
    state.is_leaving = true;
    state.left_at = now;
}

std::vector<leaving_change> data_centre_exchange::take_changes(time_point now)
{
    for (auto& [service, state] : services_) {
        if (!state.is_leaving || now - state.left_at < quiet_time)
            continue;
        state.is_leaving = false;
        changes_.push_back({service, std::nullopt});
    }
    return std::exchange(changes_, {});
}

} // namespace vanillapost
