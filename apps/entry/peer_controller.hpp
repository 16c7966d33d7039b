#ifndef VANILLAPOST_APPS_ENTRY_PEER_CONTROLLER_HPP
#define VANILLAPOST_APPS_ENTRY_PEER_CONTROLLER_HPP

#include "entry_settings.hpp"
#include "status_budget.hpp"

#include "vanillapost/io.hpp"
#include "vanillapost/membership.hpp"
#include "vanillapost/routing.hpp"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace vanillapost::entry {

/// What an entry tells its peers about itself.
struct own_status
{
    bool leaving = false;
    revision records = 0;
    std::map<service_id, int> free;
    std::map<service_id, int> held;
    std::map<service_id, duration> medians;
    std::vector<target_id> cold; ///< held targets that are not proven warm
};

/// What is known of the other entries: where they are, what they hold and
/// what they could take.
class peer_controller
{
public:
    using own_status_source = std::function<own_status()>;
    using send_to_peer =
        std::function<bool(const entry_id&, const nlohmann::json&)>;

    peer_controller(io::event_loop& loop, const entry_settings& settings,
                    const liveness& members, own_status_source own,
                    send_to_peer send, random_engine& random);

    /// Takes a peer's `status`; returns the revision that it has.
    revision on_status(const entry_incarnation& from,
                       const nlohmann::json& message);

    /// A connection to a peer came up: it needs the whole status now.
    void on_up(const entry_incarnation& peer);

    void on_gone(const entry_id& peer);

    /// Sends the own status where it has changed or is due.
    void tick();

    /// Picks a peer that is thought to have a free slot.
    std::optional<entry_id> pick(const service_id& service,
                                 std::span<const entry_id> tried);

    void on_forward(const entry_id& peer, const service_id& service);
    void on_result(const entry_id& peer, const service_id& service,
                   forward_result result);

    void on_free_slots(const entry_id& peer, const service_id& service,
                       int free);

    /// The HTTP client towards a peer; null when its address is not known.
    io::http_client* client(const entry_id& peer);

    /// Addresses to name to a caller, best first.
    std::vector<std::string> addresses(const service_id& service,
                                       const data_centre_id& caller);

    /// Whether a held target was proven warm at its holder's last status.
    bool was_warm(const target_id& target,
                  const entry_incarnation& holder) const;

    /// Median over the peers of their targets' latency.
    std::optional<duration> median_latency(const service_id& service) const;

    /// Whether requests may come from this entry.
    bool knows(std::string_view name) const;

    std::size_t known() const
    {
        return peers_.size();
    }

private:
    struct peer_state
    {
        entry_incarnation who;
        bool leaving = false;
        std::map<service_id, int> held;
        std::map<service_id, duration> medians;
        std::set<target_id> cold;
        std::unique_ptr<io::http_client> client;
        std::string client_address;
    };

    nlohmann::json message_of(const own_status& status) const;
    void send_all(const nlohmann::json& message);

    io::event_loop& loop_;
    const entry_settings& settings_;
    const liveness& members_;
    own_status_source own_;
    send_to_peer send_;
    random_engine& random_;
    peer_picker picker_;
    status_budget budget_;
    std::map<entry_id, peer_state> peers_;
    nlohmann::json last_sent_;
    time_point last_sent_at_{};
};

} // namespace vanillapost::entry

#endif
