#include "vanillapost/src/routing/peer_picker.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace vanillapost {

namespace {

/// Estimate below which a peer is not worth a forward.
constexpr double least_worthwhile = 0.05;

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
    view.reported_at = now;
    view.passed_over_until = {};
    for (auto& [service, state] : view.services)
        state.free = 0;
    for (const auto& [service, slots] : free)
        view.services[service].free = slots;
    for (auto& [service, state] : view.services) {
        state.passed_over_until = {};
        std::erase_if(state.sent, [&](time_point sent) {
            return sent + settings_.report_lag < now;
        });
    }
}

void peer_picker::on_forward(const entry_id& peer, const service_id& service,
                             time_point now)
{
    peers_[peer].services[service].sent.push_back(now);
}

void peer_picker::on_result(const entry_id& peer, const service_id& service,
                            forward_result result, time_point now)
{
    const auto found = peers_.find(peer);
    if (found == peers_.end())
        return;
    switch (result) {
    case forward_result::placed:
        break;
    case forward_result::full:
        found->second.services[service].passed_over_until =
            now + settings_.full_backoff;
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
    const auto sent = static_cast<int>(state->second.sent.size());
    const double age =
        std::chrono::duration<double>(now - found->second.reported_at) /
        std::chrono::duration<double>(settings_.half_life);
    return std::max(0, state->second.free - sent) * std::exp2(-age);
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
