#ifndef VANILLAPOST_SRC_ROUTES_CONFIGURATION_HPP
#define VANILLAPOST_SRC_ROUTES_CONFIGURATION_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vanillapost {

/// What may be repeated on a route.
enum class request_kind
{
    idempotent,     ///< may run more than once
    non_idempotent, ///< runs at most once for each attempt of a caller
    download,       ///< idempotent, with large answers
};

/// Whether a request of that kind may run more than once.
constexpr bool may_repeat(request_kind kind)
{
    return kind != request_kind::non_idempotent;
}

/// A service's share of a route.
struct route_part
{
    service_id service;
    double weight = 1;

    bool operator==(const route_part&) const = default;
};

/// One rule of a host: which service answers a path, and within what bounds.
struct route
{
    std::string name;
    std::string host;           ///< "": any
    std::string prefix;         ///< begins and ends with a slash
    bool strips_prefix = false; ///< targets see the path without it
    request_kind kind = request_kind::idempotent;
    std::vector<route_part> parts; ///< at least one
    duration timeout{};            ///< longest wait of a caller; 0: none
    duration latency_objective{};  ///< 0: none
    int max_attempts = 1;          ///< targets for one caller's attempt
    int priority = 0;              ///< 0 is the most urgent
    bool is_public = false;        ///< callers need no key

    bool operator==(const route&) const = default;
};

/// What holds for all targets of a service.
struct service_settings
{
    service_id id;
    std::string health_path = "/health";
    int max_connections = 0;             ///< of one target, from all instances
    double cold_requests_per_second = 0; ///< that a cold target bears
    int max_waiting = 0; ///< requests that one instance lets wait; 0: any

    bool operator==(const service_settings&) const = default;
};

/// Bounds on what a caller may send.
struct caller_limits
{
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 64 * 1024 * 1024;
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);

    bool operator==(const caller_limits&) const = default;
};

/// Requests that an organisation may send through all instances together.
struct quota
{
    double requests_per_second = 0; ///< 0: no limit
    double burst = 0;               ///< requests beyond the rate, at once

    bool operator==(const quota&) const = default;
};

/// A customer whose callers identify themselves by an API key.
struct organisation
{
    organisation_id id;
    std::vector<std::string> keys; ///< none: it has lost access
    std::optional<int> priority;   ///< takes precedence over that of the route
    quota limit;

    bool operator==(const organisation&) const = default;
};

/// Everything that operators configure, at one version.
struct configuration
{
    std::uint64_t version = 0;
    caller_limits limits;
    /// Nullopt: callers need no key.
    std::optional<std::vector<organisation>> organisations;
    std::vector<route> routes;
    std::vector<service_settings> services;

    bool operator==(const configuration&) const = default;
};

/// \throws field_error  naming every field that contradicts another: a part
///         of an unknown service, a route that stands twice, a weight or
///         prefix that cannot be used
void check_configuration(const configuration& config);

} // namespace vanillapost

#endif
