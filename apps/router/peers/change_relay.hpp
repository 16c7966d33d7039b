#ifndef VANILLAPOST_APPS_ROUTER_PEERS_CHANGE_RELAY_HPP
#define VANILLAPOST_APPS_ROUTER_PEERS_CHANGE_RELAY_HPP

#include "state/knowledge.hpp"
#include "state/state_controller.hpp"

#include <functional>
#include <nlohmann/json.hpp>

namespace vanillapost::router {

/// Passes changes of the store's tables on as datagrams.
///
/// In a large fleet a reader sends a change to two members of each data centre,
/// drawn anew each time, who pass it on there: no link carries it to all, and
/// between data centres it crosses a few times instead of once for each member.
class change_relay
{
public:
    using send_handler =
        std::function<void(const member&, std::string_view bytes)>;

    change_relay(io::event_loop& loop, knowledge& known,
                 state_controller& state, random_engine random,
                 send_handler send);

    /// Passes on what was read from the store here.
    /// \return false when it does not fit into datagrams: peers have to ask
    bool pass_on(shared_table which, const state_difference& difference);

    /// Takes a change from a peer, and passes it on if that asks for it.
    /// \throws error  when the message cannot be read
    void take(const nlohmann::json& message, std::string_view peer);

private:
    void send_to(const data_centre_id& data_centre, std::string_view bytes);
    void send_to_delegates(const std::string& bytes);

    io::event_loop& loop_;
    knowledge& known_;
    state_controller& state_;
    random_engine random_;
    send_handler send_;
};

} // namespace vanillapost::router

#endif
