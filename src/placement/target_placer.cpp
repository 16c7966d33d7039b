#include "vanillapost/src/placement/target_placer.hpp"

#include <algorithm>
#include <cstdint>
#include <xxhash.h>

namespace vanillapost {

namespace {

/// Parts of the cost by which equal targets are told apart: by a preference of
/// each instance, so that it keeps using the same connections, and at random.
constexpr double preference_weight = 0.06;
constexpr double random_weight = 0.02;

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
    : settings_(std::move(settings)), random_(random), intake_(settings_)
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

void target_placer::take_record(detail::placed_target& each,
                                const listed_target& record,
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
void target_placer::take_rate_limit(detail::placed_target& each,
                                    std::optional<double> limit,
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
    intake_.set_members(std::move(members));
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
        auto targets = detail::worth_measuring(order, settings_);
        if (!targets.empty()) {
            add_recheck(request, now, targets);
            return measure_first{std::move(targets)};
        }
    }
    const bool room = detail::has_plenty_of_room(order, settings_);
    const auto chosen = std::ranges::find_if(order, [&](const auto& each) {
        if (each.crowded)
            return detail::may_crowd(each, effort, settings_, now);
        return room || each.expected <= micros(effort.queue_until);
    });
    if (chosen == order.end())
        return no_room{from_micros(best.expected)};
    chosen->target->share.start_interval(now);
    return place_on{chosen->target->record.id, from_micros(chosen->expected)};
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
    return detail::current_factor(found->second, settings_, now);
}

std::size_t target_placer::usable_targets(const service_id& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.size();
}

std::vector<detail::candidate>
target_placer::rank(const placement_request& request, time_point now)
{
    std::vector<detail::candidate> order;
    const auto service = services_.find(request.service);
    if (service == services_.end())
        return order;
    for (auto* each : service->second) {
        if (!may_use(*each, request, now))
            continue;
        auto assessed = detail::assess(*each, request, settings_, now);
        assessed.cost *= 1 + preference_weight * each->preference +
                         random_weight * draw_share(random_);
        order.push_back(assessed);
    }
    detail::drop_failing(order, now);
    detail::drop_remote(order, settings_);
    std::ranges::sort(order, [](const auto& one, const auto& other) {
        if (one.full != other.full)
            return !one.full;
        return one.cost < other.cost;
    });
    return order;
}

bool target_placer::may_use(detail::placed_target& each,
                            const placement_request& request,
                            time_point now) const
{
    const auto& known = each.knowledge;
    if (known.is_doubtful(now) || known.is_draining())
        return false;
    if (std::ranges::find(request.tried, each.record.id) != request.tried.end())
        return false;
    return intake_.takes_now(each, now);
}

// Targets that get nothing because of what they said, until they say otherwise.
bool target_placer::must_recheck(const detail::placed_target& each,
                                 time_point now) const
{
    const bool cold = each.record.cold_slots && each.knowledge.is_cold(now);
    const bool says_no = cold || each.knowledge.is_draining();
    if (!says_no || each.knowledge.is_paused(now))
        return false;
    const bool waits_for_slot = cold && intake_.is_first_owner(each);
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
        const auto turn = intake_.next_turn(*each, now);
        if (turn && *turn <= now)
            return std::nullopt;
        const auto wait =
            turn ? *turn - now : intake_.until_others_turn(*each, now);
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
