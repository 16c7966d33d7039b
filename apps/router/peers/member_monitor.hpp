#ifndef VANILLAPOST_APPS_ROUTER_PEERS_MEMBER_MONITOR_HPP
#define VANILLAPOST_APPS_ROUTER_PEERS_MEMBER_MONITOR_HPP

#include "reporting/router_log.hpp"
#include "reporting/router_metrics.hpp"
#include "state/cluster_view.hpp"

#include <functional>
#include <nlohmann/json.hpp>

namespace vanillapost::router {

/// What a `member_monitor` uses to communicate with peers.
struct monitor_callbacks
{
    std::function<void(const member&)> probe;
    std::function<void(const member&, const nlohmann::json&)> send;
    std::function<void(const nlohmann::json&)> send_to_all;
    /// A peer declared this instance dead: tells all peers that it is alive.
    std::function<void()> refute;
};

/// Runs the failure detector and carries out its actions, in a fleet in which
/// not every member sends heartbeats to every other.
class member_monitor
{
public:
    member_monitor(io::event_loop& loop, cluster_view& cluster,
                   router_metrics& metrics, router_log& log,
                   random_engine random, monitor_callbacks callbacks);

    void start();

    /// A datagram arrived from this member itself.
    void on_message_from(const entry_id& from)
    {
        detector_.on_message_from(from);
    }

    /// Whether \ref handle accepts this message.
    static bool is_detector_message(const nlohmann::json& message);

    /// Handles a peer's message that it doubts that a member is alive, or that
    /// a member is dead.
    /// \throws error  when the message is malformed
    void handle(const nlohmann::json& message);

private:
    void advance();
    void execute(const std::vector<detector_action>& actions);
    void record_death(const entry_id& name);

    io::event_loop& loop_;
    cluster_view& cluster_;
    router_metrics& metrics_;
    router_log& log_;
    monitor_callbacks callbacks_;
    failure_detector detector_;
    io::timer timer_;
};

} // namespace vanillapost::router

#endif
