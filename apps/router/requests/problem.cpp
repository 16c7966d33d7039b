#include "requests/problem.hpp"

#include "vanillapost/base.hpp"

#include <nlohmann/json.hpp>

namespace vanillapost::router {

namespace {

std::string_view title_of(int status)
{
    switch (status) {
    case status_bad_request:
        return "Bad Request";
    case status_unauthorized:
        return "Unauthorized";
    case status_not_found:
        return "Not Found";
    case status_request_timeout:
        return "Request Timeout";
    case status_conflict:
        return "Conflict";
    case status_too_many_requests:
        return "Too Many Requests";
    case status_bad_gateway:
        return "Bad Gateway";
    case status_gateway_timeout:
        return "Gateway Timeout";
    default:
        return "Service Unavailable";
    }
}

} // namespace

void reply_problem(io::caller_exchange& exchange, const problem& value,
                   std::string_view request_id, const platform_adapter& adapter)
{
    nlohmann::json body = {
        {"type", "about:blank"},      {"title", title_of(value.status)},
        {"status", value.status},     {"detail", value.detail},
        {"request_id", request_id},   {"step", value.step},
        {"ran", to_string(value.ran)}};
    io::header_list headers = {{"Content-Type", "application/problem+json"}};
    if (value.retry_after) {
        body["retry_after_ms"] = to_ms(*value.retry_after);
        headers.push_back(
            {"Retry-After", adapter.write_retry_after(*value.retry_after)});
    }
    if (value.status == status_unauthorized)
        headers.push_back({"WWW-Authenticate", "Bearer"});
    // Request ids of callers may contain bytes that are not valid UTF-8.
    exchange.reply(
        value.status, headers,
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace vanillapost::router
