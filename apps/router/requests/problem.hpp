#ifndef VANILLAPOST_APPS_ROUTER_REQUESTS_PROBLEM_HPP
#define VANILLAPOST_APPS_ROUTER_REQUESTS_PROBLEM_HPP

#include "adapters/platform_adapter.hpp"
#include "vanillapost/attempts.hpp"
#include "vanillapost/src/io/caller_server.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace vanillapost::router {

inline constexpr int status_bad_request = 400;
inline constexpr int status_unauthorized = 401;
inline constexpr int status_not_found = 404;
inline constexpr int status_request_timeout = 408;
inline constexpr int status_conflict = 409;
inline constexpr int status_too_many_requests = 429;
inline constexpr int status_bad_gateway = 502;
inline constexpr int status_unavailable = 503;
inline constexpr int status_gateway_timeout = 504;

/// An error answer that the router generates itself.
struct problem
{
    int status = status_unavailable;
    std::string detail;
    std::string step; ///< step of processing at which the request ended
    run_state ran = run_state::no;
    std::optional<duration> retry_after;
};

/// Sends a problem as application/problem+json, with a Retry-After header when
/// `retry_after` is set.
void reply_problem(io::caller_exchange& exchange, const problem& value,
                   std::string_view request_id,
                   const platform_adapter& adapter);

} // namespace vanillapost::router

#endif
