#ifndef VANILLAPOST_APPS_ROUTER_PEERS_CRASH_RELAY_HPP
#define VANILLAPOST_APPS_ROUTER_PEERS_CRASH_RELAY_HPP

#include "vanillapost/attempts.hpp"
#include "vanillapost/src/io/event_loop.hpp"

#include <functional>
#include <nlohmann/json.hpp>

namespace vanillapost::router {

/// Tells all instances of targets that ended under a request, so that the
/// targets are counted over the whole deployment.
///
/// Few are told a second: the end of one target accuses what was in flight
/// there, and what is guilty is reported again with the next target.
class crash_relay
{
public:
    using handler =
        std::function<void(const crash_report&, std::string_view peer)>;
    using send_handler = std::function<void(const nlohmann::json& message)>;

    /// \param send_to_all  sends a message to all peers
    crash_relay(io::event_loop& loop, send_handler send_to_all);

    void on_report(handler handle)
    {
        handle_ = std::move(handle);
    }

    void tell(const crash_report& report);

    static bool is_report(const nlohmann::json& message);

    /// \throws error or nlohmann::json::exception  if it is not well-formed
    void handle(const nlohmann::json& message, std::string_view peer);

private:
    io::event_loop& loop_;
    send_handler send_to_all_;
    handler handle_;
    time_point second_began_{};
    int told_ = 0; ///< since then
};

} // namespace vanillapost::router

#endif
