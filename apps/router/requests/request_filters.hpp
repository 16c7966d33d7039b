#ifndef VANILLAPOST_APPS_ROUTER_REQUESTS_REQUEST_FILTERS_HPP
#define VANILLAPOST_APPS_ROUTER_REQUESTS_REQUEST_FILTERS_HPP

#include "requests/problem.hpp"
#include "state/knowledge.hpp"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace vanillapost::router {

/// A request of a caller, and what the filters have read from it.
struct incoming_request
{
    io::http_request message;
    std::string id;
    route rule;
    time_point arrived{};
    std::optional<duration> time_left; ///< as the caller says
    std::string booking_key;           ///< empty without one
};

/// What filters look at beside the request.
struct filter_context
{
    const knowledge& known;
    const platform_language& language;
    const std::function<std::string()>& make_up_id;
    /// Whether no newer configuration can be in force.
    const std::function<bool()>& knows_newest;
};

/// Gives the request an id when the caller gave none.
struct id_filter
{
    std::optional<problem> operator()(incoming_request& request,
                                      const filter_context& context) const;
};

/// Nothing can be routed without a configuration.
struct configured_filter
{
    std::optional<problem> operator()(incoming_request& request,
                                      const filter_context& context) const;
};

/// Finds the route, and the path that targets see.
struct route_filter
{
    std::optional<problem> operator()(incoming_request& request,
                                      const filter_context& context) const;
};

/// Reads how much time the caller has left.
struct deadline_filter
{
    std::optional<problem> operator()(incoming_request& request,
                                      const filter_context& context) const;
};

/// Reads the key of a booking that the caller may send again.
struct booking_key_filter
{
    std::optional<problem> operator()(incoming_request& request,
                                      const filter_context& context) const;
};

using request_filter = std::variant<id_filter, configured_filter, route_filter,
                                    deadline_filter, booking_key_filter>;

/// Runs a request through all filters, up to the first that refuses it.
std::optional<problem> run_filters(incoming_request& request,
                                   const filter_context& context);

} // namespace vanillapost::router

#endif
