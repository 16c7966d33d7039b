#include "vanillapost/src/placement/target_placer.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <xxhash.h>

namespace vanillapost {

namespace {

/// Cold targets work about half as fast.
constexpr double cold_factor = 2;
/// Parts of the cost by which equal targets are told apart: by a preference of
/// each instance, so that it keeps using the same connections, and at random.
constexpr double preference_weight = 0.06;
constexpr double random_weight = 0.02;
/// A target is worth a second round of probes when it beats the best one
/// known by this factor.
constexpr double second_round_gain = 2;

double micros(duration value)
{
    return static_cast<double>(value.count());
}

// From 0 for the most preferred target to 1.
double preference_of(const entry_id& self, const target_id& target)
{
    const auto text = self.value + '\n' + target.value;
    return static_cast<double>(XXH64(text.data(), text.size(), 0)) /
           static_cast<double>(UINT64_MAX);
}

duration from_micros(double value)
{
    return duration(static_cast<duration::rep>(value));
}

} // namespace

target_placer::target_placer(placement_settings settings, random_engine random)
    : settings_(std::move(settings)), random_(random)
{
}

void target_placer::update(const target_catalog& catalog,
                           const std::map<service_id, double>& cold_rates,
                           time_point now)
{
    for (auto& [id, each] : targets_)
        each.usable = false;
    for (const auto& [id, record] : catalog.all()) {
        auto [found, added] = targets_.try_emplace(id);
        auto& each = found->second;
        const bool restarted = !added && each.record.born_ms != record.born_ms;
        const bool moved = !added && each.record.address != record.address;
        if (restarted || moved)
            each.pacer = {};
        const bool told_cold =
            record.cold_left > duration::zero() &&
            (added || restarted || each.record.cold_left != record.cold_left);
        if (told_cold)
            each.knowledge.on_cold(record.cold_left, now);
        each.record = record;
        each.usable = catalog.is_usable(record);
        const auto rate = cold_rates.find(record.service);
        each.cold_rate = rate == cold_rates.end() ? 0 : rate->second;
        if (added || moved)
            each.owners = cold_owners(id, record.data_centre, members_);
        if (added)
            each.preference = preference_of(settings_.self, id);
    }
    std::erase_if(targets_, [&](const auto& each) {
        return !catalog.find(each.first) &&
               each.second.knowledge.in_flight() == 0;
    });
    services_.clear();
    for (auto& [id, each] : targets_)
        if (each.usable)
            services_[each.record.service].push_back(&each);
}

void target_placer::set_members(std::vector<owner_candidate> members)
{
    members_ = std::move(members);
    for (auto& [id, each] : targets_)
        each.owners = cold_owners(id, each.record.data_centre, members_);
}

placement_decision target_placer::choose(const placement_request& request,
                                         const placement_effort& effort,
                                         time_point now)
{
    const auto order = rank(request, now);
    if (order.empty()) {
        auto doubtful = suspects(request, now);
        if (effort.may_measure && !doubtful.empty())
            return measure_first{std::move(doubtful)};
        return no_target{};
    }
    const auto& best = order.front();
    if (effort.may_measure) {
        auto targets = stale(order);
        if (!targets.empty())
            return measure_first{std::move(targets)};
    }
    const auto chosen = std::ranges::find_if(order, [&](const auto& each) {
        return !each.crowded || may_crowd(each, effort, now);
    });
    if (chosen == order.end())
        return no_room{from_micros(best.expected)};
    if (chosen->target->knowledge.is_cold(now))
        chosen->target->pacer.on_sent(now);
    return place_on{chosen->target->record.id, from_micros(chosen->expected)};
}

// A request that crowds a target slows the others there, or waits behind them:
// that is worth it only if it is still done in time.
bool target_placer::may_crowd(const candidate& each,
                              const placement_effort& effort,
                              time_point now) const
{
    const double limit =
        each.target->record.slots * (1 + settings_.queue_per_slot);
    return each.target->knowledge.load(now) < limit &&
           each.expected <= micros(effort.queue_until);
}

target_knowledge* target_placer::find(const target_id& id)
{
    const auto found = targets_.find(id);
    return found == targets_.end() ? nullptr : &found->second.knowledge;
}

double target_placer::current_factor(const target_id& id, time_point now) const
{
    const auto found = targets_.find(id);
    if (found == targets_.end())
        return 1;
    const auto& known = found->second.knowledge;
    const double slots = std::max(found->second.record.slots, 1);
    const bool nearly_full = known.load(now) > settings_.knee_use * slots;
    double factor = known.pace(now);
    if (nearly_full)
        factor *= settings_.knee_factor;
    if (known.is_cold(now))
        factor *= cold_factor;
    return factor;
}

std::size_t target_placer::usable_targets(const service_id& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.size();
}

std::vector<target_placer::candidate>
target_placer::rank(const placement_request& request, time_point now)
{
    std::vector<candidate> order;
    const auto service = services_.find(request.service);
    if (service == services_.end())
        return order;
    for (auto* each : service->second) {
        if (!may_use(*each, request, now))
            continue;
        auto assessed = assess(*each, request, now);
        const double draw = static_cast<double>(random_()) /
                            static_cast<double>(random_engine::max());
        assessed.cost *=
            1 + preference_weight * each->preference + random_weight * draw;
        order.push_back(assessed);
    }
    std::ranges::sort(order, [](const candidate& one, const candidate& other) {
        if (one.full != other.full)
            return !one.full;
        return one.cost < other.cost;
    });
    return order;
}

bool target_placer::may_use(entry& each, const placement_request& request,
                            time_point now) const
{
    if (each.knowledge.is_doubtful(now))
        return false;
    if (std::ranges::find(request.tried, each.record.id) != request.tried.end())
        return false;
    if (!each.knowledge.is_cold(now))
        return true;
    return owns(each) && each.pacer.may_send(each.cold_rate, now);
}

bool target_placer::owns(const entry& each) const
{
    return std::ranges::find(each.owners, settings_.self) != each.owners.end();
}

target_placer::candidate target_placer::assess(entry& each,
                                               const placement_request& request,
                                               time_point now) const
{
    const auto& known = each.knowledge;
    const double slots = std::max(each.record.slots, 1);
    const double load = known.load(now);
    const bool cold = known.is_cold(now);
    double work =
        micros(request.expected_work) * known.pace(now) * known.slowness(now);
    const bool slowed = load + 1 > settings_.knee_use * slots;
    if (slowed)
        work *= settings_.knee_factor;
    if (cold)
        work *= cold_factor;
    // A slot is free when less than half a request more fills them.
    const bool full = load > slots - 0.5;
    const bool crowded = full || (slowed && load >= 0.5);
    const double ahead = full ? (load - slots + 1) / slots : 0;
    double expected = work * (1 + ahead);
    double cost = expected;
    if (each.record.data_centre != settings_.data_centre) {
        expected += micros(settings_.remote_delay);
        cost += micros(settings_.remote_delay) +
                micros(settings_.remote_delay_per_kib) * request.expected_kib;
    }
    const double failure_cost = request.repeatable
                                    ? settings_.failure_cost_repeatable
                                    : settings_.failure_cost_once;
    cost +=
        known.failure_rate(now) * failure_cost * micros(request.expected_work);
    // A newcomer proves itself on one request as soon as it may have one.
    if (cold && !known.was_used())
        cost = 0;
    const bool measured = known.report_age(now) <= settings_.fresh_report &&
                          known.probe_age(now) <= settings_.fresh_probe;
    return {&each, cost, expected, full, crowded, measured};
}

// The likely best targets, where what is known of them is old. A second round
// follows only while a target not probed yet looks much better.
std::vector<target_id>
target_placer::stale(std::span<const candidate> order) const
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
        measured >= settings_.probes_per_round *
                        static_cast<std::size_t>(settings_.probe_rounds);
    if (order.front().measured || enough)
        return {};
    std::vector<target_id> result;
    for (const auto& each : order) {
        if (result.size() == settings_.probes_per_round)
            break;
        if (each.measured)
            continue;
        const bool worth = !best_measured || best_measured->full ||
                           measured < settings_.probes_per_round ||
                           best_measured->cost > second_round_gain * each.cost;
        if (worth)
            result.push_back(each.target->record.id);
    }
    return result;
}

std::vector<target_id> target_placer::suspects(const placement_request& request,
                                               time_point now) const
{
    std::vector<target_id> result;
    const auto service = services_.find(request.service);
    if (service == services_.end())
        return result;
    for (const auto* each : service->second) {
        if (result.size() == settings_.probes_per_round)
            break;
        const bool tried = std::ranges::find(request.tried, each->record.id) !=
                           request.tried.end();
        if (each->knowledge.is_suspect(now) && !tried)
            result.push_back(each->record.id);
    }
    return result;
}

} // namespace vanillapost
