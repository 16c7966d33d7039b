#ifndef VANILLAPOST_APPS_ROUTER_PEERS_QUOTA_RELAY_HPP
#define VANILLAPOST_APPS_ROUTER_PEERS_QUOTA_RELAY_HPP

#include "vanillapost/quotas.hpp"

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>

namespace vanillapost::router {

/// What other parts do with messages about quotas.
struct quota_relay_handlers
{
    std::function<std::optional<quota_reply>(const quota_report&)> on_report;
    std::function<void(const quota_reply&)> on_reply;
};

/// Carries reports of demand to the owners of quotas, and their grants back.
///
/// A report asks for all organisations that an owner grants; how often one is
/// sent is up to \ref quota_limiter.
class quota_relay
{
public:
    using send_handler =
        std::function<void(const entry_id& to, const nlohmann::json& message)>;

    using reply_handler = std::function<void(const nlohmann::json& message)>;

    /// \param send  sends a message to one member
    explicit quota_relay(send_handler send) : send_(std::move(send))
    {
    }

    void set_handlers(quota_relay_handlers handlers)
    {
        handlers_ = std::move(handlers);
    }

    void report(const quota_call& call);

    /// Whether the message is one of this class.
    static bool is_message(const nlohmann::json& message);

    /// \param reply  sends a message to where this one came from: a member that
    ///               shuts down is asked nothing but still has requests
    /// \throws error  if it is not well-formed
    void handle(const nlohmann::json& message, const reply_handler& reply);

private:
    send_handler send_;
    quota_relay_handlers handlers_;
};

} // namespace vanillapost::router

#endif
