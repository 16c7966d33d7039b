#include "vanillapost/src/placement/detail/candidate.hpp"

#include <algorithm>
#include <cmath>

namespace vanillapost::detail {

namespace {

/// Cold targets work about half as fast.
constexpr double cold_factor = 2;
/// A target is worth a second round of probes when it beats the best one
/// known by this factor.
constexpr double second_round_gain = 1.3;

double micros(duration value)
{
    return static_cast<double>(value.count());
}

// How many attempts fail, on average, before one is answered.
double failures_before_answer(double failure_rate)
{
    constexpr double least_success = 0.05;
    return failure_rate / std::max(1 - failure_rate, least_success);
}

/// A machine's pace changes several times a second: the work that is left
/// after this time is done at the usual one.
constexpr duration pace_lasts = std::chrono::milliseconds(150);

// Time for work that takes `plain` µs at full pace.
double time_at_pace(double plain, double pace)
{
    const double slow_time = micros(pace_lasts);
    if (pace <= usual_pace || plain * pace <= slow_time)
        return plain * pace;
    return slow_time + (plain - slow_time / pace) * usual_pace;
}

} // namespace

candidate assess(placed_target& each, const placement_request& request,
                 const placement_settings& settings, time_point now)
{
    const auto& known = each.knowledge;
    const double slots = std::max(each.record.slots, 1);
    const double load = known.load(now);
    const bool cold = known.is_cold(now);
    double plain = micros(request.expected_work) * known.slowness(now);
    const bool slowed = load + 1 > settings.knee_use * slots;
    if (slowed)
        plain *= settings.knee_factor;
    if (cold)
        plain *= cold_factor;
    const double work = time_at_pace(plain, known.pace(now));
    // A slot is free when less than half a request more fills them.
    const bool full = load > slots - 0.5;
    const bool crowded = full || (slowed && load >= 0.5);
    const double ahead = full ? (load - slots + 1) / slots : 0;
    double expected = work * (1 + ahead);
    double cost = expected;
    if (each.record.data_centre != settings.data_centre) {
        expected += micros(settings.remote_delay);
        cost += micros(settings.remote_delay) +
                micros(settings.remote_delay_per_kib) * request.expected_kib;
    }
    const double failure_cost = request.repeatable
                                    ? settings.failure_cost_repeatable
                                    : settings.failure_cost_once;
    cost += failures_before_answer(known.failure_rate(now)) * failure_cost *
            micros(request.expected_work);
    // A newcomer proves itself on one request as soon as it may have one.
    if (cold && !known.was_used())
        cost = 0;
    const bool measured = known.report_age(now) <= settings.fresh_report &&
                          known.probe_age(now) <= settings.fresh_probe;
    return {&each, cost, expected, full, crowded, measured};
}

double current_factor(const placed_target& each,
                      const placement_settings& settings, time_point now)
{
    const auto& known = each.knowledge;
    const double slots = std::max(each.record.slots, 1);
    const bool nearly_full = known.load(now) > settings.knee_use * slots;
    double factor = known.pace(now);
    if (nearly_full)
        factor *= settings.knee_factor;
    if (known.is_cold(now))
        factor *= cold_factor;
    return factor;
}

void drop_failing(std::vector<candidate>& order, time_point now)
{
    const auto fails = [&](const candidate& each) {
        return each.target->knowledge.is_failing(now);
    };
    if (!std::ranges::all_of(order, fails))
        std::erase_if(order, fails);
}

void drop_remote(std::vector<candidate>& order,
                 const placement_settings& settings)
{
    const auto is_local = [&](const candidate& each) {
        return each.target->record.data_centre == settings.data_centre;
    };
    const auto open = std::ranges::count_if(order, [&](const auto& each) {
        return is_local(each) && !each.crowded;
    });
    if (static_cast<std::size_t>(open) >= settings.enough_local)
        std::erase_if(order, [&](const auto& each) { return !is_local(each); });
}

bool has_plenty_of_room(std::span<const candidate> order,
                        const placement_settings& settings)
{
    const auto open = std::ranges::count_if(
        order, [](const candidate& each) { return !each.crowded; });
    return static_cast<double>(open) >=
           settings.plenty_share * static_cast<double>(order.size());
}

bool may_crowd(const candidate& each, const placement_effort& effort,
               const placement_settings& settings, time_point now)
{
    const double slots = each.target->record.slots;
    const double unslowed = std::floor(settings.knee_use * slots);
    if (slots / settings.knee_factor < unslowed)
        return false;
    const double limit = slots * (1 + settings.queue_per_slot);
    return each.target->knowledge.load(now) < limit &&
           each.expected <= micros(effort.queue_until);
}

std::vector<target_id> worth_measuring(std::span<const candidate> order,
                                       const placement_settings& settings)
{
    const candidate* best_measured = nullptr;
    std::size_t measured = 0;
    for (const auto& each : order) {
        if (!each.measured)
            continue;
        ++measured;
        if (!best_measured || each.cost < best_measured->cost)
            best_measured = &each;
    }
    const bool enough =
        measured >= settings.probes_per_round *
                        static_cast<std::size_t>(settings.probe_rounds);
    if (order.front().measured || enough)
        return {};
    std::vector<target_id> result;
    for (const auto& each : order) {
        if (result.size() == settings.probes_per_round)
            break;
        if (each.measured)
            continue;
        const bool worth = !best_measured || best_measured->full ||
                           measured < settings.probes_per_round ||
                           best_measured->cost > second_round_gain * each.cost;
        if (worth)
            result.push_back(each.target->record.id);
    }
    return result;
}

} // namespace vanillapost::detail
