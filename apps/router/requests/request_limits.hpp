#ifndef VANILLAPOST_APPS_ROUTER_REQUESTS_REQUEST_LIMITS_HPP
#define VANILLAPOST_APPS_ROUTER_REQUESTS_REQUEST_LIMITS_HPP

#include "vanillapost/base.hpp"
#include "vanillapost/routes.hpp"

#include <algorithm>
#include <cstddef>

/// Figures that several parts of a request's way share.
namespace vanillapost::router {

/// Slots that other instances free are seen when asked again.
inline constexpr duration waiting_poll = std::chrono::milliseconds(10);
/// Bytes of a streamed answer that its caller may be behind.
inline constexpr std::size_t largest_pending_stream = 256 * 1024;

inline constexpr int first_server_error = 500;
/// Deadline of a caller that names none, on a route without a time-out.
inline constexpr duration default_deadline = std::chrono::seconds(30);

/// What a route's time-out leaves of a time.
inline duration within_timeout(const route& rule, duration limit)
{
    return rule.timeout > duration::zero() ? std::min(limit, rule.timeout)
                                           : limit;
}

} // namespace vanillapost::router

#endif
