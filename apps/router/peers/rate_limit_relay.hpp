#ifndef VANILLAPOST_APPS_ROUTER_PEERS_RATE_LIMIT_RELAY_HPP
#define VANILLAPOST_APPS_ROUTER_PEERS_RATE_LIMIT_RELAY_HPP

#include "reporting/router_log.hpp"
#include "state/knowledge.hpp"

#include <functional>
#include <nlohmann/json.hpp>

namespace vanillapost::router {

/// Has all instances know the rates that targets take.
///
/// A limit that is named for the first time goes to all at once. All else, and
/// what was lost, rides on messages that members exchange anyway: the owners of
/// a limited target hear it themselves, and others only have to know that there
/// is a limit, or that there is none any more.
class rate_limit_relay
{
public:
    using send_handler = std::function<void(const nlohmann::json& message)>;

    /// \param send_to_all  peers
    rate_limit_relay(io::event_loop& loop, knowledge& known, router_log& log,
                     send_handler send_to_all);

    /// A target told this instance something new.
    void on_told(const target_id& id, rate_limit_news news);

    /// Adds some of what is known to a message that goes to a peer anyway.
    void add_to(nlohmann::json& message);

    /// Whether a message that is no heartbeat was for this.
    static bool is_for_it(const nlohmann::json& message);

    /// Takes what a message has of it, if anything.
    void take(const nlohmann::json& message, std::string_view peer);

private:
    io::event_loop& loop_;
    knowledge& known_;
    router_log& log_;
    send_handler send_to_all_;
};

} // namespace vanillapost::router

#endif
