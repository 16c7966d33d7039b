#ifndef VANILLAPOST_APPS_ROUTER_PEERS_RATE_LIMIT_RELAY_HPP
#define VANILLAPOST_APPS_ROUTER_PEERS_RATE_LIMIT_RELAY_HPP

#include "reporting/router_log.hpp"
#include "state/cluster_view.hpp"

#include <functional>
#include <nlohmann/json.hpp>

namespace vanillapost::router {

/// Distributes the rate limits of targets to all instances.
///
/// A limit that a target names for the first time is sent to all peers at once.
/// Everything else, and what was lost, is piggybacked on messages that members
/// exchange anyway: the instances that own a limited target hear of changes
/// from the target, and the others only have to know whether there is a limit.
class rate_limit_relay
{
public:
    using send_handler = std::function<void(const nlohmann::json& message)>;

    /// \param send_to_all  sends a message to all peers
    rate_limit_relay(io::event_loop& loop, cluster_view& cluster,
                     router_log& log, send_handler send_to_all);

    /// A target told this instance something new about its rate limit.
    void on_rate_limit(const target_id& id, rate_limit_change change);

    /// Adds some of the known limits to a message that is sent to a peer
    /// anyway; further ones with each call.
    void add_to(nlohmann::json& message);

    /// Whether a message contains rate limits.
    static bool has_rate_limits(const nlohmann::json& message);

    /// Merges the rate limits that a message contains, if any.
    /// \param peer  sender of the message, for the log
    void handle(const nlohmann::json& message, std::string_view peer);

private:
    io::event_loop& loop_;
    cluster_view& cluster_;
    router_log& log_;
    send_handler send_to_all_;
};

} // namespace vanillapost::router

#endif
