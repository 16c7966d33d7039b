#include "vanillapost/src/routing/peer_picker.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace vanillapost {

namespace {

/// Estimate below which a peer is not worth a forward.
constexpr double least_worthwhile = 0.05;

/// Estimate for a peer that holds targets of the service and has not lately
/// said that it is full: what it said before is soon out of date.
constexpr double untold_estimate = 0.1;

} // namespace

peer_picker::peer_picker(const peer_picker_settings& settings)
    : settings_(settings)
{
}

void peer_picker::on_status(const entry_id& peer,
                            const data_centre_id& data_centre, bool leaving,
                            const std::map<service_id, int>& free,
                            time_point now)
{
    peer_view& view = peers_[peer];
    view.data_centre = data_centre;
    view.leaving = leaving;
    view.status_at = now;
    view.passed_over_until = {};
    for (auto& [service, state] : view.services)
        state.holds = false;
    for (const auto& [service, slots] : free) {
        auto& state = view.services[service];
        state.holds = true;
        take_report(state, slots, now);
    }
}

void peer_picker::on_free_slots(const entry_id& peer, const service_id& service,
                                int free, time_point now)
{
    const auto found = peers_.find(peer);
    if (found != peers_.end())
        take_report(found->second.services[service], free, now);
}

void peer_picker::take_report(service_view& state, int free, time_point now)
{
    state.free = free;
    state.reported_at = now;
    state.passed_over_until = {};
    std::erase_if(state.sent, [&](time_point sent) {
        return sent + settings_.report_lag < now;
    });
}

void peer_picker::on_forward(const entry_id& peer, const service_id& service,
                             time_point now)
{
    auto& state = peers_[peer].services[service];
    // One forward on a guess at a time: its result tells more.
    if (told_free(state, now) < least_worthwhile)
        state.passed_over_until = now + settings_.full_backoff;
    state.sent.push_back(now);
}

void peer_picker::on_result(const entry_id& peer, const service_id& service,
                            forward_result result, time_point now)
{
    const auto found = peers_.find(peer);
    if (found == peers_.end())
        return;
    auto& state = found->second.services[service];
    // Its slot is free again, or was never taken.
    if (!state.sent.empty())
        state.sent.erase(state.sent.begin());
    switch (result) {
    case forward_result::placed:
        break;
    case forward_result::full:
        state.free = 0;
        state.passed_over_until = now + settings_.full_backoff;
        break;
    case forward_result::failed:
        found->second.passed_over_until = now + settings_.failure_backoff;
        break;
    }
}

void peer_picker::remove(const entry_id& peer)
{
    peers_.erase(peer);
}

double peer_picker::told_free(const service_view& state, time_point now) const
{
    const auto sent = static_cast<int>(state.sent.size());
    const double age = std::chrono::duration<double>(now - state.reported_at) /
                       std::chrono::duration<double>(settings_.half_life);
    return std::max(0, state.free - sent) * std::exp2(-age);
}

double peer_picker::estimated_free(const entry_id& peer,
                                   const service_id& service,
                                   time_point now) const
{
    const auto found = peers_.find(peer);
    if (found == peers_.end() || found->second.leaving ||
        now < found->second.passed_over_until)
        return 0;
    const auto state = found->second.services.find(service);
    if (state == found->second.services.end() ||
        now < state->second.passed_over_until)
        return 0;
    const auto& view = state->second;
    const double told = told_free(view, now);
    const bool may_have_changed =
        view.holds && now >= view.reported_at + settings_.full_backoff &&
        now < found->second.status_at + settings_.status_life;
    return may_have_changed ? std::max(told, untold_estimate) : told;
}

std::optional<entry_id> peer_picker::pick(const service_id& service,
                                          std::span<const entry_id> tried,
                                          time_point now,
                                          random_engine& random) const
{
    std::vector<const entry_id*> peers;
    std::vector<double> weights;
    for (const auto& [name, view] : peers_) {
        const double free = estimated_free(name, service, now);
        const bool known = std::ranges::find(tried, name) != tried.end();
        if (known || free < least_worthwhile)
            continue;
        const bool local = view.data_centre == settings_.own_data_centre;
        peers.push_back(&name);
        weights.push_back(local ? free * settings_.local_preference : free);
    }
    if (peers.empty())
        return std::nullopt;
    std::discrete_distribution<std::size_t> draw(weights.begin(),
                                                 weights.end());
    return *peers[draw(random)];
}

} // namespace vanillapost
