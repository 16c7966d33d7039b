#ifndef VANILLAPOST_APPS_ROUTER_PEERS_CHANGE_RELAY_HPP
#define VANILLAPOST_APPS_ROUTER_PEERS_CHANGE_RELAY_HPP

#include "peers/change_messages.hpp"
#include "peers/gap_repair.hpp"
#include "state/cluster_view.hpp"
#include "state/state_controller.hpp"

#include <array>
#include <deque>
#include <functional>
#include <nlohmann/json.hpp>

namespace vanillapost::router {

/// What a `change_relay` uses to communicate with peers.
struct relay_callbacks
{
    std::function<void(std::string_view kind, const member& to,
                       std::string_view bytes)>
        send;
    /// Sends a datagram back to the address that a request came from.
    std::function<void(std::string_view kind, const io::address& to,
                       std::string_view bytes)>
        answer;
    /// Requests all missing changes from a peer, including those that do not
    /// fit into datagrams.
    std::function<void(const io::address& peer)> request_state;
};

/// Distributes changes of the store's tables to peers in datagrams, and
/// requests changes that were lost.
///
/// In a large fleet a reader (an instance that follows the store) sends a
/// change to two randomly chosen members of each data centre, the delegates,
/// which forward it to all members there. So no single link carries the change
/// to all members, and it crosses between data centres a few times instead of
/// once for each member. Changes of many rows go to one delegate of each data
/// centre, and are spread over time. Rows that do not fit into a datagram have
/// to be requested: the delegates request them from the reader, and the other
/// members from the delegates.
class change_relay
{
public:
    change_relay(io::event_loop& loop, cluster_view& cluster,
                 state_controller& state, random_engine random,
                 relay_callbacks callbacks);

    /// Distributes changes that this instance read from the store.
    /// \return false when not all of them fit into datagrams, so that peers
    ///         have to request the rest
    bool distribute(replicated_table which, const state_difference& difference);

    /// Handles a message of a peer: applies a change, and forwards it if the
    /// message says so; or answers a repair request.
    /// \throws error  when the message is malformed
    void handle(const io::address& from, const nlohmann::json& message);

    /// Whether a change that does not fit into datagrams is still missing.
    bool awaits_oversized_change() const;

    /// To be called after a peer's state was merged. If an awaited oversized
    /// change is known now, its notice is forwarded in this data centre where
    /// the sender asked for that.
    void on_state_received();

    /// Requests missing changes, if any. To be called when a peer may know of
    /// newer changes.
    void look_for_gaps();

private:
    /// Sends to all peers, or to delegates in a large fleet.
    /// \return number of datagrams sent
    std::size_t send(std::string_view bytes, std::size_t delegates);
    std::size_t send_to_all(std::string_view bytes);
    std::size_t send_to_delegates(std::string_view bytes,
                                  std::size_t delegates);
    void send_to_data_centre(std::string_view bytes);
    void send_batch();
    void handle_change(const nlohmann::json& message, std::string_view peer);
    void handle_oversized_change(const io::address& from,
                                 const oversized_change& notice);
    void answer_repair_request(const io::address& from,
                               const nlohmann::json& message);
    void request_repairs();
    void request_repair(replicated_table which);

    io::event_loop& loop_;
    cluster_view& cluster_;
    state_controller& state_;
    random_engine random_;
    relay_callbacks callbacks_;
    std::deque<std::string> queue_; ///< datagrams of large changes
    io::timer queue_timer_;
    io::timer repair_timer_;
    bool repairing_ = false;                  ///< changes are missing
    std::optional<oversized_change> awaited_; ///< announced, not yet known
    std::array<gap_repair, 2> repairs_;       ///< by table
    repair_budget budget_;
};

} // namespace vanillapost::router

#endif
