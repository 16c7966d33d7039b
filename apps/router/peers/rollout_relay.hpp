#ifndef VANILLAPOST_APPS_ROUTER_PEERS_ROLLOUT_RELAY_HPP
#define VANILLAPOST_APPS_ROUTER_PEERS_ROLLOUT_RELAY_HPP

#include "vanillapost/members.hpp"
#include "vanillapost/rollouts.hpp"

#include <functional>
#include <nlohmann/json.hpp>
#include <span>
#include <string_view>

namespace vanillapost::router {

/// What other parts do with messages about roll-outs.
struct rollout_relay_handlers
{
    std::function<void(const service_id&, const rollout_directive&)>
        on_directive;
    std::function<void(const evidence_report&)> on_report;
};

/// Sends and reads the messages about roll-outs: the directive of the instance
/// that decides, and the reports of what the others have seen.
///
/// Each message is one datagram and repeats all that an earlier one said, so
/// nothing is lost with one. Instances of earlier versions ignore them.
class rollout_relay
{
public:
    using send_handler = std::function<void(
        std::string_view kind, const member& to, std::string_view bytes)>;

    explicit rollout_relay(send_handler send);

    void set_handlers(rollout_relay_handlers handlers)
    {
        handlers_ = std::move(handlers);
    }

    void tell(const service_id& service, const rollout_directive& directive,
              std::span<const member> to);

    void report(const evidence_report& report, std::span<const member> to);

    /// Whether the message is one of this class.
    static bool is_message(const nlohmann::json& message);

    /// \throws error or nlohmann::json::exception  if it is not well-formed
    void handle(const nlohmann::json& message);

private:
    void send(std::string_view kind, nlohmann::json message,
              std::span<const member> to);

    send_handler send_;
    rollout_relay_handlers handlers_;
};

} // namespace vanillapost::router

#endif
