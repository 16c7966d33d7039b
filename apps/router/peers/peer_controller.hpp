#ifndef VANILLAPOST_APPS_ROUTER_PEERS_PEER_CONTROLLER_HPP
#define VANILLAPOST_APPS_ROUTER_PEERS_PEER_CONTROLLER_HPP

#include "peers/change_relay.hpp"
#include "peers/crash_relay.hpp"
#include "peers/departure_relay.hpp"
#include "peers/member_monitor.hpp"
#include "peers/peer_discovery.hpp"
#include "peers/quota_relay.hpp"
#include "peers/rate_limit_relay.hpp"
#include "peers/rollout_relay.hpp"
#include "peers/state_request.hpp"
#include "reporting/router_log.hpp"
#include "state/cluster_view.hpp"
#include "state/state_controller.hpp"
#include "vanillapost/src/io/datagram_socket.hpp"

namespace vanillapost::router {

/// Exchanges heartbeats with peers, distributes changes of the store, and
/// requests the changes that this instance missed.
///
/// In a small fleet every member sends heartbeats to every other. In a larger
/// one only readers do, the instances that follow the store, and the others
/// are probed (\ref member_monitor); every member still sends a heartbeat when
/// something changes.
///
/// Heartbeats and changes are datagrams that contain CBOR. A lost heartbeat is
/// replaced by the next one, a lost change is detected by the next heartbeat,
/// and there is no connection that could stall unnoticed.
class peer_controller
{
public:
    /// \param address  to listen on; peers use the same port
    /// \param seeds    query addresses of some peers, which may be stale
    peer_controller(io::event_loop& loop, const io::address& address,
                    std::vector<std::string> seeds, cluster_view& cluster,
                    state_controller& state, router_metrics& metrics,
                    router_log& log, random_engine random);

    void start();

    /// Sets whether this instance accepts requests. Peers are told at once.
    void set_ready(bool ready);

    /// Tells peers at once whether this instance reaches targets.
    void on_reach_changed();

    /// Tells peers that this instance shuts down.
    void leave();

    /// Distributes changes that this instance read from the store.
    void distribute_change(replicated_table which,
                           const state_difference& difference);

    /// A target told this instance that it leaves.
    void on_target_leaving(const target_id& id, std::int64_t start_unix_ms)
    {
        departures_.on_target_leaving(id, start_unix_ms);
    }

    /// Tells peers of a target that ended under a request.
    void on_crash(const crash_report& report)
    {
        crashes_.tell(report);
    }

    /// Tells peers that a request under which targets ended is tried again.
    void on_crash_trial(const std::string& request)
    {
        crashes_.tell_trial(request);
    }

    /// Tells peers that such a request is suspected no longer.
    void on_crash_release(const std::string& request)
    {
        crashes_.tell_release(request);
    }

    void set_crash_handlers(crash_relay_handlers handlers)
    {
        crashes_.set_handlers(std::move(handlers));
    }

    /// Asks an owner of quotas for requests.
    void report_demand(const quota_call& call)
    {
        quotas_.report(call);
    }

    void set_quota_handlers(quota_relay_handlers handlers)
    {
        quotas_.set_handlers(std::move(handlers));
    }

    /// A target told this instance something new about its rate limit.
    void on_rate_limit(const target_id& id, rate_limit_change change)
    {
        limits_.on_rate_limit(id, change);
    }

    /// The messages about roll-outs.
    rollout_relay& rollouts()
    {
        return rollouts_;
    }

private:
    void join();
    void run_heartbeat();
    void run_periodic_tasks();
    void send(std::string_view kind, const member& to, std::string_view bytes);
    void answer(std::string_view kind, const io::address& to,
                std::string_view bytes);
    void send_to_member(std::string_view kind, const entry_id& to,
                        const nlohmann::json& message);
    void send_to_peers(std::string_view kind, const nlohmann::json& message);
    void send_heartbeat();
    void send_heartbeat_once();
    void send_probe_to(const member& to);
    void send_probe_reply(const io::address& to, bool held_dead);
    void send_hello(const io::address& to, bool reply_wanted);
    void handle_datagram(const io::address& from, std::string_view bytes);
    void handle_message(const io::address& from, const nlohmann::json& message);
    void handle_hello(const io::address& from, const nlohmann::json& message);
    void handle_heartbeat(const io::address& from,
                          const nlohmann::json& message);
    void choose_state_source();
    void request_state_if_behind();
    void request_state_from(const io::address& from);
    void read_store_if_incomplete();
    void on_state_request_finished(state_request_outcome outcome);
    void check_member_view(const member_heartbeat& heartbeat);
    bool is_worth_asking(const member& peer) const;
    void store_member_list();
    member_heartbeat make_heartbeat() const;
    member_heartbeat make_heartbeat_with_view() const;
    nlohmann::json with_limits(const member_heartbeat& heartbeat);
    duration interval() const;

    io::event_loop& loop_;
    cluster_view& cluster_;
    state_controller& state_;
    router_metrics& metrics_;
    router_log& log_;
    random_engine random_;
    io::datagram_socket socket_;
    departure_relay departures_;
    rate_limit_relay limits_;
    crash_relay crashes_;
    rollout_relay rollouts_;
    quota_relay quotas_;
    member_monitor monitor_;
    change_relay changes_;
    state_request state_request_;
    io::timer join_timer_;
    io::timer heartbeat_timer_;
    io::timer state_request_timer_;
    io::timer repeat_timer_;
    io::timer store_read_timer_;
    peer_discovery discovery_;
    reader_election reader_;
    time_point started_{};
    std::optional<time_point> members_read_at_;
    bool ready_ = false;
    bool leaving_ = false;
    std::vector<member> stored_members_; ///< as last written by this instance
    /// Of the store when it was written; a restored store may lack it.
    std::uint64_t stored_members_epoch_ = 0;
    time_point stored_members_at_{};
    bool was_large_ = false;
    bool members_received_ = false; ///< from a peer, since the start
    bool hello_received_ = false;   ///< from any peer, since the start
    int differing_views_ = 0;       ///< in a row
    time_point view_requested_at_{};
};

} // namespace vanillapost::router

#endif
