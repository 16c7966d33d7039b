#include "problem.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace vanillapost::entry {

namespace {

constexpr std::array<std::string_view, 3> ran_names = {"no", "maybe", "yes"};

std::string_view title_of(int status)
{
    switch (status) {
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 422:
        return "Unprocessable Content";
    case 429:
        return "Too Many Requests";
    case 502:
        return "Bad Gateway";
    case 504:
        return "Gateway Timeout";
    default:
        return "Service Unavailable";
    }
}

} // namespace

void reply_problem(io::server_exchange& exchange, const problem& value,
                   std::string_view request_id)
{
    nlohmann::json body = {{"type", "about:blank"},
                           {"title", title_of(value.status)},
                           {"status", value.status},
                           {"detail", value.detail},
                           {"request_id", request_id},
                           {"step", value.step},
                           {"ran", ran_names[static_cast<int>(value.ran)]}};
    io::header_list headers = {{"Content-Type", "application/problem+json"},
                               {"Request-Id", std::string(request_id)}};
    if (value.retry_after) {
        using std::chrono::ceil;
        const auto wait = std::max(*value.retry_after, duration(0));
        body["retry_after_ms"] = ceil<std::chrono::milliseconds>(wait).count();
        headers.push_back(
            {"Retry-After",
             std::to_string(ceil<std::chrono::seconds>(wait).count())});
    }
    exchange.reply(
        value.status, headers,
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace vanillapost::entry
