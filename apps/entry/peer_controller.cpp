#include "peer_controller.hpp"

#include <algorithm>

namespace vanillapost::entry {

namespace {

constexpr duration status_interval = std::chrono::seconds(1);
constexpr std::size_t most_addresses = 3;
constexpr std::size_t frame_bytes = 8; ///< around a message on the wire

template <class Value>
nlohmann::json by_service(const std::map<service_id, Value>& values)
{
    nlohmann::json result = nlohmann::json::object();
    for (const auto& [service, value] : values)
        result[service.value] = value;
    return result;
}

std::map<service_id, int> counts_of(const nlohmann::json& object)
{
    std::map<service_id, int> result;
    for (const auto& [name, value] : object.items())
        result[service_id{name}] = value.get<int>();
    return result;
}

std::map<service_id, std::int64_t>
in_microseconds(const std::map<service_id, duration>& values)
{
    std::map<service_id, std::int64_t> result;
    for (const auto& [service, value] : values)
        result[service] = value.count();
    return result;
}

/// Whether a service went from full to free or back.
bool fullness_changed(const nlohmann::json& before, const nlohmann::json& now)
{
    if (before.is_null())
        return true;
    for (const char* field : {"leaving", "records", "held", "cold"}) {
        if (before.at(field) != now.at(field))
            return true;
    }
    const auto& then = before.at("free");
    for (const auto& [service, free] : now.at("free").items()) {
        const auto found = then.find(service);
        if (found == then.end() || (*found > 0) != (free > 0))
            return true;
    }
    return false;
}

} // namespace

peer_controller::peer_controller(io::event_loop& loop,
                                 const entry_settings& settings,
                                 const liveness& members, own_status_source own,
                                 send_to_peer send, random_engine& random)
    : loop_(loop), settings_(settings), members_(members), own_(std::move(own)),
      send_(std::move(send)), random_(random),
      picker_({.own_data_centre = settings.data_centre})
{
}

nlohmann::json peer_controller::message_of(const own_status& status) const
{
    std::vector<std::string> cold;
    for (const auto& target : status.cold)
        cold.push_back(target.value);
    return {{"t", "status"},
            {"leaving", status.leaving},
            {"records", status.records},
            {"free", by_service(status.free)},
            {"held", by_service(status.held)},
            {"median_us", by_service(in_microseconds(status.medians))},
            {"cold", std::move(cold)}};
}

void peer_controller::send_all(const nlohmann::json& message)
{
    for (const auto& [name, peer] : peers_)
        send_(name, message);
    last_sent_ = message;
    last_sent_at_ = loop_.now();
}

void peer_controller::tick()
{
    if (peers_.empty())
        return;
    const auto now = loop_.now();
    if (!budget_.has_room(now))
        return;
    const auto message = message_of(own_());
    const bool due = now >= last_sent_at_ + status_interval;
    if (!due && !fullness_changed(last_sent_, message))
        return;
    budget_.spend((nlohmann::json::to_cbor(message).size() + frame_bytes) *
                      peers_.size(),
                  now);
    send_all(message);
}

void peer_controller::on_up(const entry_incarnation& peer)
{
    auto& state = peers_[peer.name];
    if (state.who != peer) {
        state.held.clear();
        state.medians.clear();
        state.cold.clear();
    }
    state.who = peer;
    send_(peer.name, message_of(own_()));
}

void peer_controller::on_gone(const entry_id& peer)
{
    picker_.remove(peer);
}

revision peer_controller::on_status(const entry_incarnation& from,
                                    const nlohmann::json& message)
{
    auto& peer = peers_[from.name];
    peer.who = from;
    peer.leaving = message.at("leaving").get<bool>();
    peer.held = counts_of(message.at("held"));
    peer.medians.clear();
    for (const auto& [name, value] : message.at("median_us").items())
        peer.medians[service_id{name}] = duration(value.get<std::int64_t>());
    peer.cold.clear();
    for (const auto& name : message.at("cold"))
        peer.cold.insert(target_id{name.get<std::string>()});
    const auto* listed = members_.find(from.name);
    picker_.on_status(from.name,
                      listed ? listed->data_centre : data_centre_id{},
                      peer.leaving, counts_of(message.at("free")), loop_.now());
    return message.at("records").get<revision>();
}

std::optional<entry_id> peer_controller::pick(const service_id& service,
                                              std::span<const entry_id> tried)
{
    return picker_.pick(service, tried, loop_.now(), random_);
}

void peer_controller::on_forward(const entry_id& peer,
                                 const service_id& service)
{
    picker_.on_forward(peer, service, loop_.now());
}

void peer_controller::on_result(const entry_id& peer, const service_id& service,
                                forward_result result)
{
    picker_.on_result(peer, service, result, loop_.now());
}

void peer_controller::on_free_slots(const entry_id& peer,
                                    const service_id& service, int free)
{
    picker_.on_free_slots(peer, service, free, loop_.now());
}

io::http_client* peer_controller::client(const entry_id& peer)
{
    const auto* listed = members_.find(peer);
    const auto found = peers_.find(peer);
    if (!listed || found == peers_.end())
        return nullptr;
    auto& state = found->second;
    if (!state.client || state.client_address != listed->http_address) {
        io::http_client_limits limits;
        limits.max_connections = 1024;
        limits.max_idle_connections = 64;
        state.client = std::make_unique<io::http_client>(
            loop_, io::parse_address(listed->http_address), limits);
        state.client_address = listed->http_address;
    }
    return state.client.get();
}

std::vector<std::string>
peer_controller::addresses(const service_id& service,
                           const data_centre_id& caller)
{
    std::vector<advised_entry> entries;
    for (const auto& listed : members_.live()) {
        advised_entry entry{listed.who.name,
                            listed.data_centre,
                            listed.http_address,
                            listed.leaving,
                            {}};
        if (listed.who.name != settings_.name) {
            const auto peer = peers_.find(listed.who.name);
            if (peer == peers_.end())
                continue;
            entry.leaving = entry.leaving || peer->second.leaving;
            entry.held_slots = peer->second.held;
        }
        entries.push_back(std::move(entry));
    }
    const auto own = own_();
    const auto self =
        std::find_if(entries.begin(), entries.end(), [this](const auto& each) {
            return each.name == settings_.name;
        });
    if (self != entries.end()) {
        self->leaving = own.leaving;
        self->held_slots = own.held;
    } else {
        // The list may lag, or there may be none yet.
        entries.push_back({settings_.name, settings_.data_centre,
                           io::to_string(settings_.http_address), own.leaving,
                           own.held});
    }
    return advise_addresses(entries, service, caller, most_addresses, random_);
}

bool peer_controller::was_warm(const target_id& target,
                               const entry_incarnation& holder) const
{
    const auto found = peers_.find(holder.name);
    return found != peers_.end() && found->second.who == holder &&
           !found->second.held.empty() && !found->second.cold.contains(target);
}

std::optional<duration>
peer_controller::median_latency(const service_id& service) const
{
    std::vector<duration> medians;
    for (const auto& [name, peer] : peers_) {
        const auto found = peer.medians.find(service);
        if (found != peer.medians.end())
            medians.push_back(found->second);
    }
    if (medians.empty())
        return std::nullopt;
    const auto middle = medians.begin() + static_cast<long>(medians.size() / 2);
    std::nth_element(medians.begin(), middle, medians.end());
    return *middle;
}

bool peer_controller::knows(std::string_view name) const
{
    return peers_.contains(entry_id{std::string(name)});
}

} // namespace vanillapost::entry
