#include "peers/rollout_relay.hpp"

#include "vanillapost/src/base/error.hpp"
#include "vanillapost/src/base/text_check.hpp"
#include "vanillapost/src/io/detail/cbor.hpp"

#include <utility>

namespace vanillapost::router {

namespace {

using nlohmann::json;

constexpr const char* directive_field = "rollout";
constexpr const char* report_field = "rollout_report";
constexpr const char* service_field = "service";
/// An instance of an earlier version takes a message with this field for one
/// about rate limits and reads no more of it. Without, it would log that it
/// cannot read the message.
constexpr const char* earlier_versions_field = "limits";

service_id read_service(const json& message)
{
    service_id result{message.at(service_field).get<std::string>()};
    if (!is_name_text(result.value))
        throw error("read directive", "", "not the name of a service");
    return result;
}

} // namespace

rollout_relay::rollout_relay(send_handler send) : send_(std::move(send))
{
}

void rollout_relay::tell(const service_id& service,
                         const rollout_directive& directive,
                         std::span<const member> to)
{
    send(
        "rollout",
        {{service_field, service.value}, {directive_field, to_json(directive)}},
        to);
}

void rollout_relay::report(const evidence_report& report,
                           std::span<const member> to)
{
    send("rollout_report", {{report_field, to_json(report)}}, to);
}

void rollout_relay::send(std::string_view kind, json message,
                         std::span<const member> to)
{
    if (to.empty())
        return;
    message[earlier_versions_field] = json::array();
    const auto bytes = io::detail::write_message(message);
    for (const auto& each : to)
        send_(kind, each, bytes);
}

bool rollout_relay::is_message(const json& message)
{
    return message.contains(directive_field) || message.contains(report_field);
}

void rollout_relay::handle(const json& message)
{
    if (message.contains(directive_field) && handlers_.on_directive)
        handlers_.on_directive(
            read_service(message),
            parse_rollout_directive(message.at(directive_field)));
    else if (message.contains(report_field) && handlers_.on_report)
        handlers_.on_report(parse_evidence_report(message.at(report_field)));
}

} // namespace vanillapost::router
