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
constexpr double second_round_gain = 1.3;

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

duration from_micros(double value)
{
    return duration(static_cast<duration::rep>(value));
}

} // namespace

target_placer::target_placer(placement_settings settings, random_engine random)
    : settings_(std::move(settings)), random_(random), view_{settings_.self, {}}
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
        if (added)
            each.preference = preference_of(settings_.self, id);
        take_record(each, record, catalog, now);
        const auto rate = cold_rates.find(record.service);
        each.cold_rate = rate == cold_rates.end() ? 0 : rate->second;
    }
    std::erase_if(targets_, [&](const auto& each) {
        const auto& known = each.second.knowledge;
        return !catalog.find(each.first) && known.in_flight() == 0 &&
               !known.is_paused(now);
    });
    services_.clear();
    for (auto& [id, each] : targets_)
        if (each.usable)
            services_[each.record.service].push_back(&each);
}

void target_placer::take_record(entry& each, const listed_target& record,
                                const target_catalog& catalog,
                                time_point now) const
{
    const bool other_start = each.record.born_ms != record.born_ms ||
                             each.record.address != record.address;
    if (other_start)
        each.share = {};
    const bool told_cold =
        record.cold_left > duration::zero() &&
        (other_start || each.record.cold_left != record.cold_left);
    if (told_cold)
        each.knowledge.on_cold(record.cold_left, now);
    each.record = record;
    each.usable = catalog.is_usable(record, now);
    take_rate_limit(each, catalog.rate_limit(record), now);
}

// Whoever hears of a limit does not know what others have just sent.
void target_placer::take_rate_limit(entry& each, std::optional<double> limit,
                                    time_point now) const
{
    if (limit && !each.rate_limit)
        each.share.start_interval(now);
    each.rate_limit = limit;
}

void target_placer::refresh(const target_id& id, const target_catalog& catalog,
                            time_point now)
{
    const auto found = targets_.find(id);
    if (found == targets_.end())
        return;
    auto& each = found->second;
    const auto* record = catalog.find(id);
    each.usable = record && catalog.is_usable(*record, now);
    if (record)
        take_rate_limit(each, catalog.rate_limit(*record), now);
    list_usable(each.record.service);
}

void target_placer::list_usable(const service_id& service)
{
    auto& usable = services_[service];
    usable.clear();
    for (auto& [id, each] : targets_)
        if (each.usable && each.record.service == service)
            usable.push_back(&each);
}

void target_placer::set_members(std::vector<owner_candidate> members)
{
    view_.members = std::move(members);
    ++view_.version;
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
        return no_target{first_turn(request.service, now)};
    }
    const auto& best = order.front();
    if (effort.may_measure) {
        auto targets = stale(order);
        if (!targets.empty()) {
            add_recheck(request, now, targets);
            return measure_first{std::move(targets)};
        }
    }
    const bool room = has_plenty_of_room(order);
    const auto chosen = std::ranges::find_if(order, [&](const auto& each) {
        if (each.crowded)
            return may_crowd(each, effort, now);
        return room || each.expected <= micros(effort.queue_until);
    });
    if (chosen == order.end())
        return no_room{from_micros(best.expected)};
    chosen->target->share.start_interval(now);
    return place_on{chosen->target->record.id, from_micros(chosen->expected)};
}

// With little room left, a request that would be late takes a slot from one
// that could still be in time.
bool target_placer::has_plenty_of_room(std::span<const candidate> order) const
{
    const auto open = std::ranges::count_if(
        order, [](const candidate& each) { return !each.crowded; });
    return static_cast<double>(open) >=
           settings_.plenty_share * static_cast<double>(order.size());
}

// A request that crowds a target slows the others there, or waits behind them:
// that is worth it only if it is still done in time, and if the target gets
// more done in all.
bool target_placer::may_crowd(const candidate& each,
                              const placement_effort& effort,
                              time_point now) const
{
    const double slots = each.target->record.slots;
    const double unslowed = std::floor(settings_.knee_use * slots);
    if (slots / settings_.knee_factor < unslowed)
        return false;
    const double limit = slots * (1 + settings_.queue_per_slot);
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
        assessed.cost *= 1 + preference_weight * each->preference +
                         random_weight * draw_share(random_);
        order.push_back(assessed);
    }
    drop_failing(order, now);
    drop_remote(order);
    std::ranges::sort(order, [](const candidate& one, const candidate& other) {
        if (one.full != other.full)
            return !one.full;
        return one.cost < other.cost;
    });
    return order;
}

// A target that fails at once always has room. Waiting for another one is
// better, unless all fail.
void target_placer::drop_failing(std::vector<candidate>& order,
                                 time_point now) const
{
    const auto fails = [&](const candidate& each) {
        return each.target->knowledge.is_failing(now);
    };
    if (!std::ranges::all_of(order, fails))
        std::erase_if(order, fails);
}

void target_placer::drop_remote(std::vector<candidate>& order) const
{
    const auto is_local = [&](const candidate& each) {
        return each.target->record.data_centre == settings_.data_centre;
    };
    const auto open = std::ranges::count_if(order, [&](const auto& each) {
        return is_local(each) && !each.crowded;
    });
    if (static_cast<std::size_t>(open) >= settings_.enough_local)
        std::erase_if(order, [&](const auto& each) { return !is_local(each); });
}

bool target_placer::may_use(entry& each, const placement_request& request,
                            time_point now) const
{
    const auto& known = each.knowledge;
    if (known.is_doubtful(now) || known.is_draining())
        return false;
    if (std::ranges::find(request.tried, each.record.id) != request.tried.end())
        return false;
    const auto turn = next_turn(each, now);
    if (!turn || *turn > now)
        return false;
    return !known.is_cold(now) || !each.record.cold_slots ||
           has_cold_slot(each, *each.record.cold_slots, now);
}

// Requests a second that it takes from all instances now.
std::optional<double> target_placer::rate_bound(const entry& each,
                                                time_point now) const
{
    const bool starts = each.knowledge.is_cold(now) && !each.record.cold_slots;
    if (!starts)
        return each.rate_limit;
    return std::min(each.rate_limit.value_or(each.cold_rate), each.cold_rate);
}

// What a target says that it takes: nothing while it pauses, so many requests
// a second after its start and while it names a limit. Nothing where this
// instance has no part of that.
std::optional<time_point> target_placer::next_turn(const entry& each,
                                                   time_point now) const
{
    const auto open_at = now + each.knowledge.pause_left(now);
    const auto bound = rate_bound(each, now);
    if (!bound)
        return open_at;
    const auto turn = each.share.next_turn(
        each.record.id, each.record.data_centre, *bound, view_, now);
    if (!turn)
        return std::nullopt;
    return std::max(*turn, open_at);
}

// The first owner alone: shares of so few slots would be empty.
bool target_placer::has_cold_slot(const entry& each, int cold_slots,
                                  time_point now) const
{
    const bool fresh = each.knowledge.report_age(now) <= settings_.fresh_report;
    const bool settled =
        each.knowledge.cold_for(now) >= settings_.cold_settling;
    return fresh && settled &&
           each.knowledge.load(now) + 1 <= cold_slots + 0.5 &&
           is_first_owner(each);
}

bool target_placer::is_first_owner(const entry& each) const
{
    const auto owners =
        rate_owners(each.record.id, each.record.data_centre, view_.members, 1);
    return !owners.empty() && owners.front() == settings_.self;
}

target_placer::candidate target_placer::assess(entry& each,
                                               const placement_request& request,
                                               time_point now) const
{
    const auto& known = each.knowledge;
    const double slots = std::max(each.record.slots, 1);
    const double load = known.load(now);
    const bool cold = known.is_cold(now);
    double plain = micros(request.expected_work) * known.slowness(now);
    const bool slowed = load + 1 > settings_.knee_use * slots;
    if (slowed)
        plain *= settings_.knee_factor;
    if (cold)
        plain *= cold_factor;
    const double work = time_at_pace(plain, known.pace(now));
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
    cost += failures_before_answer(known.failure_rate(now)) * failure_cost *
            micros(request.expected_work);
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

// Targets that get nothing because of what they said, until they say otherwise.
bool target_placer::must_recheck(const entry& each, time_point now) const
{
    const bool cold = each.record.cold_slots && each.knowledge.is_cold(now);
    const bool says_no = cold || each.knowledge.is_draining();
    if (!says_no || each.knowledge.is_paused(now))
        return false;
    const bool waits_for_slot = cold && is_first_owner(each);
    return each.knowledge.probe_age(now) >
           (waits_for_slot ? settings_.fresh_report : settings_.recheck);
}

void target_placer::add_recheck(const placement_request& request,
                                time_point now,
                                std::vector<target_id>& targets) const
{
    for (const auto* each : services_.at(request.service)) {
        if (!must_recheck(*each, now))
            continue;
        targets.push_back(each->record.id);
        return;
    }
}

// Where only others own parts of its rate: some caller gets one of these within
// an interval.
duration target_placer::others_turn(const entry& each, time_point now) const
{
    const auto bound = rate_bound(each, now).value_or(0);
    return each.knowledge.pause_left(now) + each.share.interval(bound);
}

// Nothing when one of them takes any number of requests, or has a turn: what
// keeps it from being used may end at any moment.
std::optional<duration> target_placer::first_turn(const service_id& service,
                                                  time_point now) const
{
    std::optional<duration> result;
    const auto found = services_.find(service);
    if (found == services_.end())
        return result;
    for (const auto* each : found->second) {
        const auto turn = next_turn(*each, now);
        if (turn && *turn <= now)
            return std::nullopt;
        const auto wait = turn ? *turn - now : others_turn(*each, now);
        result = std::min(result.value_or(wait), wait);
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
        const bool unsure =
            each->knowledge.is_suspect(now) || must_recheck(*each, now);
        if (unsure && !tried && !each->knowledge.is_paused(now))
            result.push_back(each->record.id);
    }
    return result;
}

} // namespace vanillapost
