#include "vanillapost/src/placement/target_placer.hpp"

#include "vanillapost/src/placement/detail/room_estimate.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <xxhash.h>

namespace vanillapost {

namespace {

/// Shares of the cost that break ties between equal targets: by a preference of
/// each instance, so that it reuses the same connections, and at random.
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

bool is_admitted(const detail::tracked_target& each,
                 const placement_request& request)
{
    return !request.version || request.version->admits(each.record.version);
}

} // namespace

target_placer::target_placer(placement_settings settings, random_engine random)
    : settings_(std::move(settings)), random_(random), admission_(settings_),
      exchange_(settings_.exchange, settings_.data_centre)
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
        apply_record(each, record, catalog, now);
        const auto rate = cold_rates.find(record.service);
        each.cold_rate = rate == cold_rates.end() ? 0 : rate->second;
    }
    std::erase_if(targets_, [&](const auto& each) {
        const auto& status = each.second.status;
        return !catalog.find(each.first) && status.in_flight() == 0 &&
               !status.is_paused(now);
    });
    services_.clear();
    for (auto& [id, each] : targets_)
        if (each.usable)
            services_[each.record.service].push_back(&each);
    retain_exchange();
}

void target_placer::retain_exchange()
{
    std::set<service_id> services;
    std::set<data_centre_id> data_centres;
    for (const auto& [id, each] : targets_) {
        services.insert(each.record.service);
        data_centres.insert(each.record.data_centre);
    }
    exchange_.retain(services, data_centres);
}

void target_placer::apply_record(detail::tracked_target& each,
                                 const listed_target& record,
                                 const target_catalog& catalog,
                                 time_point now) const
{
    const bool is_new_start =
        each.record.start_unix_ms != record.start_unix_ms ||
        each.record.address != record.address;
    if (is_new_start)
        each.share = {};
    const bool reported_cold =
        record.cold_left > duration::zero() &&
        (is_new_start || each.record.cold_left != record.cold_left);
    if (reported_cold)
        each.status.on_cold(record.cold_left, now);
    each.record = record;
    each.usable = catalog.is_usable(record, now);
    apply_rate_limit(each, catalog.rate_limit(record), now);
}

// An instance that learns of a limit does not know what others have just sent,
// so it waits for an interval before it sends.
void target_placer::apply_rate_limit(detail::tracked_target& each,
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
        apply_rate_limit(each, catalog.rate_limit(*record), now);
    rebuild_usable(each.record.service);
}

void target_placer::rebuild_usable(const service_id& service)
{
    auto& usable = services_[service];
    usable.clear();
    for (auto& [id, each] : targets_)
        if (each.usable && each.record.service == service)
            usable.push_back(&each);
}

void target_placer::set_members(std::vector<owner_candidate> members)
{
    const auto here = std::ranges::count(members, settings_.data_centre,
                                         &owner_candidate::data_centre);
    exchange_.set_instances(static_cast<std::size_t>(here));
    admission_.set_members(std::move(members));
}

placement_decision target_placer::choose(const placement_request& request,
                                         const placement_options& options,
                                         time_point now)
{
    const auto ranked = rank(request, options, now);
    const auto& order = ranked.order;
    if (order.empty()) {
        auto unavailable = targets_to_recheck(request, now);
        if (options.probing_allowed && !unavailable.empty())
            return probe_first{std::move(unavailable)};
        return no_target{shortest_wait(request, now)};
    }
    const auto& best = order.front();
    if (options.probing_allowed) {
        auto targets = detail::targets_to_probe(order, settings_);
        if (!targets.empty()) {
            add_recheck(request, now, targets);
            return probe_first{std::move(targets)};
        }
    }
    const auto chosen = std::ranges::find_if(order, [&](const auto& each) {
        if (each.congested)
            return detail::may_use_congested(each, options, settings_, now);
        return ranked.spare_capacity ||
               each.expected <= micros(options.time_budget);
    });
    if (chosen == order.end())
        return no_capacity{from_micros(best.expected)};
    return place(request, ranked, *chosen, now);
}

place_on target_placer::place(const placement_request& request,
                              const ranking& ranked,
                              const detail::candidate& chosen, time_point now)
{
    auto& target = *chosen.target;
    target.share.start_interval(now);
    place_on result{target.record.id, from_micros(chosen.expected), {}};
    if (target.record.data_centre == settings_.data_centre)
        return result;
    result.left_because = ranked.cause;
    if (ranked.cause)
        exchange_.on_left(request.service, target.record.data_centre,
                          *ranked.cause, now);
    return result;
}

void target_placer::on_round_trip(const target_id& id, duration taken,
                                  time_point now)
{
    const auto found = targets_.find(id);
    if (found != targets_.end())
        exchange_.on_round_trip(found->second.record.data_centre, taken, now);
}

const data_centre_id* target_placer::data_centre_of(const target_id& id) const
{
    const auto found = targets_.find(id);
    return found == targets_.end() ? nullptr
                                   : &found->second.record.data_centre;
}

duration target_placer::remote_delay(const detail::tracked_target& each) const
{
    const auto& there = each.record.data_centre;
    return there == settings_.data_centre ? duration::zero()
                                          : exchange_.delay_to(there);
}

target_status* target_placer::find(const target_id& id)
{
    const auto found = targets_.find(id);
    return found == targets_.end() ? nullptr : &found->second.status;
}

double target_placer::service_time_factor(const target_id& id,
                                          time_point now) const
{
    const auto found = targets_.find(id);
    if (found == targets_.end())
        return 1;
    return detail::service_time_factor(found->second, settings_, now);
}

std::size_t target_placer::usable_targets(const service_id& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.size();
}

std::size_t
target_placer::usable_targets(const service_id& service,
                              const version_constraint& version) const
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return 0;
    return static_cast<std::size_t>(
        std::ranges::count_if(found->second, [&](const auto* each) {
            return version.admits(each->record.version);
        }));
}

int target_placer::in_flight(const service_id& service,
                             const version_constraint& version) const
{
    int result = 0;
    for (const auto& [id, each] : targets_)
        if (each.record.service == service &&
            version.admits(each.record.version))
            result += each.status.in_flight();
    return result;
}

target_placer::ranking target_placer::rank(const placement_request& request,
                                           const placement_options& options,
                                           time_point now)
{
    ranking result;
    auto& order = result.order;
    const auto service = services_.find(request.service);
    if (service == services_.end())
        return result;
    for (auto* each : service->second) {
        if (!may_use(*each, request, now))
            continue;
        auto assessed =
            detail::assess(*each, request, settings_, remote_delay(*each), now);
        assessed.cost *= 1 + preference_weight * each->preference +
                         random_weight * draw_share(random_);
        order.push_back(assessed);
    }
    detail::drop_failing(order, now);
    result.cause = drop_remote(request, options, order, now);
    result.spare_capacity = detail::has_spare_capacity(order, settings_);
    std::ranges::sort(order, [](const auto& one, const auto& other) {
        if (one.full != other.full)
            return !one.full;
        return one.cost < other.cost;
    });
    return result;
}

// Returns why those that remain may be used.
std::optional<leaving_cause> target_placer::drop_remote(
    const placement_request& request, const placement_options& options,
    std::vector<detail::candidate>& order, time_point now)
{
    if (settings_.leaving == leaving_rule::fixed_count) {
        detail::drop_remote(order, settings_);
        return leaving_cause::short_here;
    }
    std::vector<detail::tracked_target*> admitted;
    std::ranges::copy_if(
        services_.at(request.service), std::back_inserter(admitted),
        [&](const auto* each) { return is_admitted(*each, request); });
    const auto rooms =
        detail::estimate_rooms(admitted, order, options, settings_, now);
    const auto permit = exchange_.decide(
        {request.service, micros(request.expected_work),
         micros(options.time_budget), !options.probing_allowed},
        rooms, now);
    detail::keep_permitted(order, permit, settings_.data_centre,
                           micros(request.expected_work));
    return permit ? std::optional(permit->cause) : std::nullopt;
}

bool target_placer::may_use(detail::tracked_target& each,
                            const placement_request& request,
                            time_point now) const
{
    const auto& status = each.status;
    if (!is_admitted(each, request))
        return false;
    if (status.may_be_down(now) || status.is_draining())
        return false;
    if (std::ranges::find(request.tried, each.record.id) != request.tried.end())
        return false;
    return admission_.accepts_now(each, now);
}

// Whether to probe a target that gets no requests because it reported to be
// draining or cold, to learn when that ends.
bool target_placer::must_recheck(const detail::tracked_target& each,
                                 time_point now) const
{
    const bool cold = each.record.cold_slots && each.status.is_cold(now);
    const bool excluded = cold || each.status.is_draining();
    if (!excluded || each.status.is_paused(now))
        return false;
    const bool waits_for_slot = cold && admission_.is_first_owner(each);
    return each.status.probe_age(now) > (waits_for_slot
                                             ? settings_.max_report_age
                                             : settings_.recheck_interval);
}

void target_placer::add_recheck(const placement_request& request,
                                time_point now,
                                std::vector<target_id>& targets) const
{
    for (const auto* each : services_.at(request.service)) {
        if (!is_admitted(*each, request) || !must_recheck(*each, now))
            continue;
        targets.push_back(each->record.id);
        return;
    }
}

// Time until the first target of a service accepts a request. Nullopt if one of
// them would accept a request now: what else keeps it from being used may end
// at any moment.
std::optional<duration>
target_placer::shortest_wait(const placement_request& request,
                             time_point now) const
{
    std::optional<duration> result;
    const auto found = services_.find(request.service);
    if (found == services_.end())
        return result;
    for (const auto* each : found->second) {
        if (!is_admitted(*each, request))
            continue;
        const auto send_at = admission_.next_send_time(*each, now);
        if (send_at && *send_at <= now)
            return std::nullopt;
        const auto wait = send_at
                              ? *send_at - now
                              : admission_.wait_for_other_owners(*each, now);
        result = std::min(result.value_or(wait), wait);
    }
    return result;
}

std::vector<target_id>
target_placer::targets_to_recheck(const placement_request& request,
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
        if (tried || !is_admitted(*each, request))
            continue;
        const bool needs_probe =
            each->status.is_suspect(now) || must_recheck(*each, now);
        if (needs_probe && !each->status.is_paused(now))
            result.push_back(each->record.id);
    }
    return result;
}

} // namespace vanillapost
