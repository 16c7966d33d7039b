#include "vanillapost/src/placement/detail/candidate.hpp"

#include <algorithm>
#include <cmath>

namespace vanillapost::detail {

namespace {

/// Cold targets are about half as fast.
constexpr double cold_factor = 2;
/// A target is probed in a second round only if the best target with fresh data
/// costs more than this many times as much.
constexpr double second_round_gain = 1.3;

double micros(duration value)
{
    return static_cast<double>(value.count());
}

// Mean number of failed attempts before one succeeds.
double failures_before_answer(double failure_rate)
{
    constexpr double min_success_rate = 0.05;
    return failure_rate / std::max(1 - failure_rate, min_success_rate);
}

/// A machine's slowdown changes several times a second: work that remains after
/// this time is assumed to be done at the typical slowdown.
constexpr duration slowdown_duration = std::chrono::milliseconds(150);

// Service time, in µs, of work that takes `base_us` without slowdown.
double service_time_us(double base_us, double slowdown_factor)
{
    const double slow_time_us = micros(slowdown_duration);
    if (slowdown_factor <= typical_slowdown ||
        base_us * slowdown_factor <= slow_time_us)
        return base_us * slowdown_factor;
    return slow_time_us +
           (base_us - slow_time_us / slowdown_factor) * typical_slowdown;
}

} // namespace

candidate assess(tracked_target& each, const placement_request& request,
                 const placement_settings& settings, duration remote_delay,
                 time_point now)
{
    const auto& status = each.status;
    const double slots = std::max(each.record.slots, 1);
    const double load = status.load(now);
    const bool cold = status.is_cold(now);
    double base_us =
        micros(request.expected_work) * status.unexplained_slowdown(now);
    const bool slowed = load + 1 > settings.knee_utilization * slots;
    if (slowed)
        base_us *= settings.knee_factor;
    if (cold)
        base_us *= cold_factor;
    const double work = service_time_us(base_us, status.slowdown_factor(now));
    // The estimated load is fractional: a slot counts as free if at least half
    // of one is.
    const bool full = load > slots - 0.5;
    const bool congested = full || (slowed && load >= 0.5);
    const double queued_share = full ? (load - slots + 1) / slots : 0;
    double expected = work * (1 + queued_share);
    double cost = expected;
    if (each.record.data_centre != settings.data_centre) {
        expected += micros(remote_delay);
        cost += micros(remote_delay) +
                micros(settings.exchange.delay_per_kib) * request.expected_kib;
    }
    const double failure_cost = request.repeatable
                                    ? settings.failure_cost_repeatable
                                    : settings.failure_cost_unrepeatable;
    cost += failures_before_answer(status.failure_rate(now)) * failure_cost *
            micros(request.expected_work);
    // A new target gets one request as soon as it may have one, to show that it
    // works.
    if (cold && !status.was_used())
        cost = 0;
    const bool fresh = status.report_age(now) <= settings.max_report_age &&
                       status.probe_age(now) <= settings.max_probe_age;
    return {&each, cost, expected, full, congested, fresh};
}

double service_time_factor(const tracked_target& each,
                           const placement_settings& settings, time_point now)
{
    const auto& status = each.status;
    const double slots = std::max(each.record.slots, 1);
    const bool nearly_full =
        status.load(now) > settings.knee_utilization * slots;
    double factor = status.slowdown_factor(now);
    if (nearly_full)
        factor *= settings.knee_factor;
    if (status.is_cold(now))
        factor *= cold_factor;
    return factor;
}

void drop_failing(std::vector<candidate>& order, time_point now)
{
    const auto fails = [&](const candidate& each) {
        return each.target->status.is_failing(now);
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
    const auto with_capacity =
        std::ranges::count_if(order, [&](const auto& each) {
            return is_local(each) && !each.congested;
        });
    if (static_cast<std::size_t>(with_capacity) >= settings.min_local_targets)
        std::erase_if(order, [&](const auto& each) { return !is_local(each); });
}

bool has_spare_capacity(std::span<const candidate> order,
                        const placement_settings& settings)
{
    const auto with_capacity = std::ranges::count_if(
        order, [](const candidate& each) { return !each.congested; });
    return static_cast<double>(with_capacity) >=
           settings.min_free_share * static_cast<double>(order.size());
}

bool may_use_congested(const candidate& each, const placement_options& options,
                       const placement_settings& settings, time_point now)
{
    const double slots = each.target->record.slots;
    const double max_unslowed_load =
        std::floor(settings.knee_utilization * slots);
    if (slots / settings.knee_factor < max_unslowed_load)
        return false;
    const double max_load = slots * (1 + settings.queue_per_slot);
    return each.target->status.load(now) < max_load &&
           each.expected <= micros(options.time_budget);
}

std::vector<target_id> targets_to_probe(std::span<const candidate> order,
                                        const placement_settings& settings)
{
    const candidate* best_fresh = nullptr;
    std::size_t fresh_count = 0;
    for (const auto& each : order) {
        if (!each.fresh)
            continue;
        ++fresh_count;
        if (!best_fresh || each.cost < best_fresh->cost)
            best_fresh = &each;
    }
    const bool enough =
        fresh_count >= settings.probes_per_round *
                           static_cast<std::size_t>(settings.probe_rounds);
    if (order.front().fresh || enough)
        return {};
    std::vector<target_id> result;
    for (const auto& each : order) {
        if (result.size() == settings.probes_per_round)
            break;
        if (each.fresh)
            continue;
        const bool promising = !best_fresh || best_fresh->full ||
                               fresh_count < settings.probes_per_round ||
                               best_fresh->cost > second_round_gain * each.cost;
        if (promising)
            result.push_back(each.target->record.id);
    }
    return result;
}

} // namespace vanillapost::detail
