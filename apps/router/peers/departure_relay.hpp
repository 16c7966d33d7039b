#ifndef VANILLAPOST_APPS_ROUTER_PEERS_DEPARTURE_RELAY_HPP
#define VANILLAPOST_APPS_ROUTER_PEERS_DEPARTURE_RELAY_HPP

#include "reporting/router_log.hpp"
#include "reporting/router_metrics.hpp"
#include "state/cluster_view.hpp"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>

namespace vanillapost::router {

/// Reports to peers that a target announced its departure, if the target's row
/// in the store does not say so: because the store is unavailable, or because
/// the target never writes it.
///
/// Rows reach every instance without this class. It therefore waits for the
/// row first, and then for a random time, so that usually only one of the
/// instances that the target told sends a report.
class departure_relay
{
public:
    using send_handler = std::function<void(const nlohmann::json& message)>;

    departure_relay(io::event_loop& loop, cluster_view& cluster,
                    router_metrics& metrics, router_log& log,
                    random_engine random, send_handler send);

    /// A target told this instance that it leaves.
    /// \param start_unix_ms  start time of the target, from its row; Unix ms
    void on_target_leaving(const target_id& id, std::int64_t start_unix_ms);

    /// Handles a peer's report of departures.
    /// \throws error  when the message is malformed
    void handle(const nlohmann::json& message);

private:
    struct pending
    {
        std::int64_t start_unix_ms = 0;
        time_point due{};
    };

    void send_due();
    void schedule_next(time_point now);
    bool is_needed(const target_id& id, std::int64_t start_unix_ms) const;

    io::event_loop& loop_;
    cluster_view& cluster_;
    router_metrics& metrics_;
    router_log& log_;
    random_engine random_;
    send_handler send_;
    io::timer timer_;
    io::timer expiry_timer_; ///< when peers' reports lapse
    std::map<target_id, pending> pending_;
};

} // namespace vanillapost::router

#endif
