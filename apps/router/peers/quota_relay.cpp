#include "peers/quota_relay.hpp"

namespace vanillapost::router {

namespace {

using nlohmann::json;

constexpr const char* report_field = "quota_report";
constexpr const char* reply_field = "quota_reply";

} // namespace

void quota_relay::report(const quota_call& call)
{
    send_(call.to, {{report_field, to_json(call.report)}});
}

bool quota_relay::is_message(const json& message)
{
    return message.contains(report_field) || message.contains(reply_field);
}

void quota_relay::handle(const json& message, const reply_handler& reply)
{
    if (message.contains(reply_field)) {
        handlers_.on_reply(parse_quota_reply(message.at(reply_field)));
        return;
    }
    const auto report = parse_quota_report(message.at(report_field));
    if (const auto grants = handlers_.on_report(report))
        reply({{reply_field, to_json(*grants)}});
}

} // namespace vanillapost::router
