#ifndef VANILLAPOST_APPS_ROUTER_PEERS_CHANGE_RELAY_HPP
#define VANILLAPOST_APPS_ROUTER_PEERS_CHANGE_RELAY_HPP

#include "peers/change_messages.hpp"
#include "peers/gap_repair.hpp"
#include "state/knowledge.hpp"
#include "state/state_controller.hpp"

#include <array>
#include <deque>
#include <functional>
#include <nlohmann/json.hpp>

namespace vanillapost::router {

/// How a change relay reaches its peers.
struct relay_links
{
    std::function<void(std::string_view kind, const member& to,
                       std::string_view bytes)>
        send;
    /// To who sent a datagram, by the address that it came from.
    std::function<void(std::string_view kind, const io::address& to,
                       std::string_view bytes)>
        answer;
    /// A peer has changes that do not fit into datagrams.
    std::function<void(const io::address& peer)> ask_all;
};

/// Passes changes of the store's tables on as datagrams, and asks for those
/// that were lost.
///
/// In a large fleet a reader sends a change to two members of each data centre,
/// drawn anew each time, who pass it on there: no link carries it to all, and
/// between data centres it crosses a few times instead of once for each member.
/// Changes of many rows go to one of each, and are spread over time. Rows that
/// are longer than a datagram are asked for, of the delegates by their peers.
class change_relay
{
public:
    change_relay(io::event_loop& loop, knowledge& known,
                 state_controller& state, random_engine random,
                 relay_links links);

    /// Passes on what was read from the store here.
    /// \return false when not all of it fits into datagrams: peers have to ask
    bool pass_on(shared_table which, const state_difference& difference);

    /// Takes a change from a peer, and passes it on if that asks for it; or
    /// answers a question for changes.
    /// \throws error  when the message cannot be read
    void take(const io::address& from, const nlohmann::json& message);

    /// Whether a change that does not fit into datagrams is still missing.
    bool awaits_long_change() const;

    /// A peer has told all that was missing here.
    void on_state_told();

    /// A peer may know more: looks whether changes are missing.
    void look_for_gaps();

private:
    /// \return how many datagrams went out
    std::size_t send(std::string_view bytes, std::size_t delegates);
    std::size_t send_to_all(std::string_view bytes);
    std::size_t send_to_delegates(std::string_view bytes,
                                  std::size_t delegates);
    void send_to_data_centre(std::string_view bytes);
    void send_next();
    void take_change(const nlohmann::json& message, std::string_view peer);
    void take_long_change(const io::address& from, const long_change& news);
    void answer(const io::address& from, const nlohmann::json& message);
    void ask();
    void ask_for(shared_table which);

    io::event_loop& loop_;
    knowledge& known_;
    state_controller& state_;
    random_engine random_;
    relay_links links_;
    std::deque<std::string> parcels_; ///< of large changes, still to be sent
    io::timer parcel_timer_;
    io::timer ask_timer_;
    bool asking_ = false;
    std::optional<long_change> awaited_; ///< was told of, is not known yet
    std::array<gap_repair, 2> repairs_;  ///< by table
    repair_budget budget_;
};

} // namespace vanillapost::router

#endif
