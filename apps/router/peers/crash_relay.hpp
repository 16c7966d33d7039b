#ifndef VANILLAPOST_APPS_ROUTER_PEERS_CRASH_RELAY_HPP
#define VANILLAPOST_APPS_ROUTER_PEERS_CRASH_RELAY_HPP

#include "vanillapost/attempts.hpp"
#include "vanillapost/src/io/event_loop.hpp"

#include <functional>
#include <nlohmann/json.hpp>
#include <vector>

namespace vanillapost::router {

/// What other parts do with messages about requests under which targets end.
struct crash_relay_handlers
{
    std::function<void(const crash_report&, std::string_view peer)> on_report;
    std::function<void(const std::string& request)> on_trial;
    std::function<void(const std::string& request, std::string_view peer)>
        on_release;
    /// Returns what an instance that has just started has to know.
    std::function<std::vector<crash_report>()> held;
};

/// Tells all instances of targets that ended under a request, so that the
/// targets are counted over the whole deployment.
///
/// Few are told a second: the end of one target accuses what was in flight
/// there, and what is guilty is reported again with the next target. All news
/// goes out twice, as a message may be lost. An instance that starts is told
/// with the first message that it gets.
class crash_relay
{
public:
    using send_handler = std::function<void(const nlohmann::json& message)>;

    /// \param send_to_all  sends a message to all peers
    crash_relay(io::event_loop& loop, send_handler send_to_all);

    void set_handlers(crash_relay_handlers handlers)
    {
        handlers_ = std::move(handlers);
    }

    void tell(const crash_report& report);

    /// Tells that a request is tried here again.
    void tell_trial(const std::string& request);

    /// Tells that a request is suspected no longer.
    void tell_release(const std::string& request);

    /// Adds what an instance that has just started has to know.
    void add_to(nlohmann::json& hello) const;

    /// Whether the message is one of this class.
    static bool is_message(const nlohmann::json& message);

    /// Handles what a message says, if anything.
    /// \throws error or nlohmann::json::exception  if it is not well-formed
    void handle(const nlohmann::json& message, std::string_view peer);

private:
    bool may_tell();
    void send_twice(nlohmann::json message);
    void repeat();

    io::event_loop& loop_;
    send_handler send_to_all_;
    crash_relay_handlers handlers_;
    time_point second_began_{};
    int told_ = 0; ///< since then
    std::vector<nlohmann::json> to_repeat_;
    io::timer repeat_timer_;
};

} // namespace vanillapost::router

#endif
