#include "vanillapost/src/placement/detail/room_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace vanillapost::detail {

namespace {

/// Decay time of the weight of a report. Requests come and go in about that
/// time.
constexpr duration report_decay = std::chrono::milliseconds(300);
/// Free share and occupancy that are assumed where nothing is known, and the
/// weight of reports, counted in fresh ones, from which on nothing is assumed.
constexpr double prior_free_share = 0.5;
constexpr double prior_occupancy = 0.5;
constexpr double prior_weight = 0.5;

// Of one data centre: sums over its targets, weighted by the reports' age.
struct weighted_room
{
    data_centre_room room;
    double weight = 0;
    double free_targets = 0;
    double free_slots = 0;
    double occupancy = 0;
    double unslowed_slots = 0; ///< of all targets, not weighted
};

weighted_room& room_of(std::vector<weighted_room>& rooms,
                       const data_centre_id& which)
{
    const auto found = std::ranges::find_if(rooms, [&](const auto& each) {
        return each.room.data_centre == which;
    });
    if (found != rooms.end())
        return *found;
    rooms.emplace_back().room.data_centre = which;
    return rooms.back();
}

double weight_of(duration age)
{
    return std::exp(-static_cast<double>(age.count()) /
                    static_cast<double>(report_decay.count()));
}

void add_target(weighted_room& to, const tracked_target& each,
                const placement_settings& settings, time_point now)
{
    const auto& status = each.status;
    const double slots = std::max(each.record.slots, 1);
    const double unslowed =
        std::max(std::floor(settings.knee_utilization * slots), 1.0);
    ++to.room.listed;
    to.unslowed_slots += unslowed;
    const bool out = status.may_be_down(now) || status.is_draining() ||
                     status.is_paused(now) || status.is_failing(now);
    if (out) {
        to.weight += 1;
        to.occupancy += 1;
        return;
    }
    const auto load = status.load_at_report();
    if (!load)
        return;
    const double weight = weight_of(status.report_age(now));
    const double free = std::max(unslowed - *load, 0.0);
    to.weight += weight;
    to.occupancy += weight * *load / slots;
    to.free_slots += weight * free;
    if (free >= 1)
        to.free_targets += weight;
}

void add_candidate(data_centre_room& to, const candidate& each,
                   const placement_options& options,
                   const placement_settings& settings, time_point now)
{
    ++to.eligible;
    to.any_fresh = to.any_fresh || each.fresh;
    if (each.congested && !may_use_congested(each, options, settings, now))
        return;
    to.best_cost = std::min(to.best_cost, each.cost);
    to.best_expected = std::min(to.best_expected, each.expected);
}

data_centre_room finish(const weighted_room& sums)
{
    auto result = sums.room;
    const auto listed =
        static_cast<double>(std::max<std::size_t>(result.listed, 1));
    const double assumed = std::max(prior_weight - sums.weight, 0.0);
    const double weight = sums.weight + assumed;
    result.free_share =
        (sums.free_targets + assumed * prior_free_share) / weight;
    result.occupancy = (sums.occupancy + assumed * prior_occupancy) / weight;
    const double prior_slots = prior_free_share * sums.unslowed_slots / listed;
    result.free_slots =
        listed * (sums.free_slots + assumed * prior_slots) / weight;
    return result;
}

} // namespace

std::vector<data_centre_room>
estimate_rooms(std::span<tracked_target* const> targets,
               std::span<const candidate> candidates,
               const placement_options& options,
               const placement_settings& settings, time_point now)
{
    std::vector<weighted_room> sums;
    for (const auto* each : targets)
        add_target(room_of(sums, each->record.data_centre), *each, settings,
                   now);
    for (const auto& each : candidates)
        add_candidate(room_of(sums, each.target->record.data_centre).room, each,
                      options, settings, now);
    std::vector<data_centre_room> result;
    for (const auto& each : sums)
        result.push_back(finish(each));
    return result;
}

void keep_permitted(std::vector<candidate>& order,
                    const std::optional<leaving_permit>& permit,
                    const data_centre_id& here, double work_us)
{
    const auto is_local = [&](const candidate& each) {
        return each.target->record.data_centre == here;
    };
    std::erase_if(order, [&](const candidate& each) {
        if (is_local(each))
            return false;
        return !permit || std::ranges::find(permit->destinations,
                                            each.target->record.data_centre) ==
                              permit->destinations.end();
    });
    if (!permit)
        return;
    for (auto& each : order)
        if (!is_local(each))
            each.cost += permit->min_gain * work_us;
}

} // namespace vanillapost::detail
