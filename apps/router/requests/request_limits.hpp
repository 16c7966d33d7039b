#ifndef VANILLAPOST_APPS_ROUTER_REQUESTS_REQUEST_LIMITS_HPP
#define VANILLAPOST_APPS_ROUTER_REQUESTS_REQUEST_LIMITS_HPP

#include "vanillapost/base.hpp"
#include "vanillapost/routes.hpp"

#include <algorithm>
#include <cstddef>

/// Limits and defaults that several steps of request processing share.
namespace vanillapost::router {

/// Interval at which a waiting request looks for a slot again (slots that other
/// instances free are not noticed otherwise), and at which a paused stream
/// checks whether its caller has caught up.
inline constexpr duration recheck_interval = std::chrono::milliseconds(10);
/// Unsent bytes of a streamed answer above which reading from the target pauses
/// until its caller has caught up.
inline constexpr std::size_t max_pending_stream_bytes = 256 * 1024;

inline constexpr int first_server_error = 500;
/// Time limit of a request whose caller sends no deadline, unless the timeout
/// of its route is shorter.
inline constexpr duration default_deadline = std::chrono::seconds(30);

/// The shorter of `limit` and the route's timeout, if the route has one.
inline duration within_timeout(const route& rule, duration limit)
{
    return rule.timeout > duration::zero() ? std::min(limit, rule.timeout)
                                           : limit;
}

} // namespace vanillapost::router

#endif
