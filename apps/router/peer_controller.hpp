#ifndef VANILLAPOST_APPS_ROUTER_PEER_CONTROLLER_HPP
#define VANILLAPOST_APPS_ROUTER_PEER_CONTROLLER_HPP

#include "knowledge.hpp"
#include "router_log.hpp"
#include "state_controller.hpp"
#include "vanillapost/src/io/datagram_socket.hpp"

#include <functional>

namespace vanillapost::router {

/// Tells peers that this instance lives, hears the same of them, and asks one
/// of them for its state while the store cannot be reached.
///
/// Heartbeats are datagrams with CBOR: each replaces the one before, so a
/// lost one needs no repeat, and no connection can go silent.
class peer_controller
{
public:
    peer_controller(io::event_loop& loop, const io::address& where,
                    std::vector<std::string> seeds, knowledge& known,
                    state_controller& state, router_log& log);

    void start();

    /// Whether this instance takes requests; told at once.
    void set_ready(bool ready);

    /// Tells peers that this instance ends.
    void leave();

private:
    void beat();
    void send_status();
    void take_datagram(const io::address& from, std::string_view bytes);
    void after_change();
    void ask_peer_if_behind();
    void take_snapshot(const std::string& body);

    io::event_loop& loop_;
    knowledge& known_;
    state_controller& state_;
    router_log& log_;
    io::datagram_socket socket_;
    io::timer beat_timer_;
    std::vector<std::string> seeds_;
    std::uint16_t peer_port_;
    bool ready_ = false;
    bool leaving_ = false;
    std::unique_ptr<io::http_client> asked_peer_;
    std::unique_ptr<io::http_call> question_;
    std::string answer_;
    time_point asked_at_{};
};

} // namespace vanillapost::router

#endif
