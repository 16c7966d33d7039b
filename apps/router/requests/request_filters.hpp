#ifndef VANILLAPOST_APPS_ROUTER_REQUESTS_REQUEST_FILTERS_HPP
#define VANILLAPOST_APPS_ROUTER_REQUESTS_REQUEST_FILTERS_HPP

#include "requests/crash_guard.hpp"
#include "requests/problem.hpp"
#include "requests/route_statistics.hpp"
#include "state/cluster_view.hpp"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace vanillapost::router {

/// A caller's request and what the filters have derived from it.
struct incoming_request
{
    io::http_request message;
    std::string id;
    route rule;
    time_point arrived{};
    time_point begun{}; ///< it may have waited behind another until then
    std::optional<duration> time_left; ///< until the caller's deadline
    std::string idempotency_key;       ///< idempotency key; empty if none
    /// Whose key the caller has; nullopt if callers need none.
    std::optional<organisation_id> organisation;
    /// `Authorization` as the caller sent it, for a peer that the request is
    /// relayed to; targets do not get it.
    std::string authorization;
    /// Priority of the organisation, which goes before that of the route.
    std::optional<int> organisation_priority;
    bool is_trial = false;   ///< requests like it end their targets, or did
    bool is_relayed = false; ///< by a peer that reaches no target
    /// Number of targets that the peer lets it run on, if it says so.
    std::optional<int> relayed_attempts;
};

/// What filters need in addition to the request.
struct filter_context
{
    const cluster_view& cluster;
    const platform_adapter& adapter;
    const std::function<std::string()>& generate_request_id;
    /// Returns whether no newer configuration can be in force.
    const std::function<bool()>& has_newest_configuration;
    const route_statistics& statistics;
    const std::optional<shutdown_plan>& shutdown;
    crash_guard& crashes;
};

/// Generates a request id if the caller sent none.
struct id_filter
{
    std::optional<problem> operator()(incoming_request& request,
                                      const filter_context& context) const;
};

/// Notes whether a peer has relayed the request, and removes the header that
/// says so.
struct relay_filter
{
    std::optional<problem> operator()(incoming_request& request,
                                      const filter_context& context) const;
};

/// Refuses requests while no configuration or no target is known.
struct configured_filter
{
    std::optional<problem> operator()(incoming_request& request,
                                      const filter_context& context) const;
};

/// Finds the route, and removes its prefix from the path where the route asks
/// for that.
struct route_filter
{
    std::optional<problem> operator()(incoming_request& request,
                                      const filter_context& context) const;
};

/// Finds the organisation of the caller by its key, where callers need one, and
/// removes the key and any organisation that the caller names.
struct organisation_filter
{
    std::optional<problem> operator()(incoming_request& request,
                                      const filter_context& context) const;
};

/// Reads the deadline header; refuses a request whose deadline has passed.
struct deadline_filter
{
    std::optional<problem> operator()(incoming_request& request,
                                      const filter_context& context) const;
};

/// Reads the idempotency key of a booking, which allows the caller to send it
/// again.
struct idempotency_key_filter
{
    std::optional<problem> operator()(incoming_request& request,
                                      const filter_context& context) const;
};

/// Refuses what this instance cannot answer before it stops.
struct shutdown_filter
{
    std::optional<problem> operator()(incoming_request& request,
                                      const filter_context& context) const;
};

/// Refuses requests like those under which targets have ended.
struct crash_filter
{
    std::optional<problem> operator()(incoming_request& request,
                                      const filter_context& context) const;
};

using request_filter =
    std::variant<id_filter, relay_filter, configured_filter, route_filter,
                 organisation_filter, deadline_filter, idempotency_key_filter,
                 shutdown_filter, crash_filter>;

/// Why a request is refused under which targets have ended.
inline constexpr std::string_view held_reason =
    "targets ended under this request";

/// Identity by which requests under which targets end are counted.
std::string identity_of(const io::http_request& message);

/// Applies the filters in order, up to the first that refuses the request.
/// \return the refusal; nothing when the request passes
std::optional<problem> run_filters(incoming_request& request,
                                   const filter_context& context);

} // namespace vanillapost::router

#endif
