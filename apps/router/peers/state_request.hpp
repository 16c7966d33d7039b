#ifndef VANILLAPOST_APPS_ROUTER_PEERS_STATE_REQUEST_HPP
#define VANILLAPOST_APPS_ROUTER_PEERS_STATE_REQUEST_HPP

#include "reporting/router_log.hpp"
#include "reporting/router_metrics.hpp"
#include "state/state_controller.hpp"

#include <functional>

namespace vanillapost::router {

/// How a request for a peer's state ended.
enum class state_request_outcome
{
    taken,
    busy,       ///< the peer is sending its state to others
    unreadable, ///< for example from a peer of another version
    unanswered
};

/// Requests what a peer knows of the tables and members, over HTTP.
///
/// Only one request is made at a time.
class state_request
{
public:
    state_request(io::event_loop& loop, state_controller& state,
                  router_metrics& metrics, router_log& log,
                  std::function<void(state_request_outcome)> on_finished);

    bool is_pending() const
    {
        return call_ != nullptr;
    }

    /// Must not be called while a request is pending.
    /// \param with_members  also request the list of members
    void start(const member& peer, bool with_members);

private:
    void handle_response(const std::string& peer);
    void finish(state_request_outcome outcome);

    io::event_loop& loop_;
    state_controller& state_;
    router_metrics& metrics_;
    router_log& log_;
    std::function<void(state_request_outcome)> on_finished_;
    std::unique_ptr<io::http_client> client_;
    std::unique_ptr<io::http_call> call_;
    std::string response_;
    int status_ = 0;
};

} // namespace vanillapost::router

#endif
