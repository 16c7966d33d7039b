#ifndef VANILLAPOST_APPS_ENTRY_REQUEST_FILTERS_HPP
#define VANILLAPOST_APPS_ENTRY_REQUEST_FILTERS_HPP

#include "call.hpp"
#include "peer_controller.hpp"

#include <optional>
#include <span>
#include <variant>

namespace vanillapost::entry {

/// What filters may look at beside the call.
struct filter_context
{
    const record_set& records;
    const peer_controller& peers;
    time_point now;
};

/// Finds the service in the path, and what goes on to the target.
struct parse_filter
{
    std::optional<problem> operator()(call& request,
                                      const filter_context& context) const;
};

/// Sets the deadline, the shorter one of the caller's and the service's.
struct deadline_filter
{
    std::optional<problem> operator()(call& request,
                                      const filter_context& context) const;
};

/// Sets the class and how deep and often the request has been called.
struct priority_filter
{
    std::optional<problem> operator()(call& request,
                                      const filter_context& context) const;
};

/// Checks the idempotency key of a booking.
struct idempotency_filter
{
    std::optional<problem> operator()(call& request,
                                      const filter_context& context) const;
};

using request_filter = std::variant<parse_filter, deadline_filter,
                                    priority_filter, idempotency_filter>;

/// The filters that every request passes before it is admitted, in order.
std::span<const request_filter> request_filters();

/// Runs the chain; returns the problem of the first filter that refuses.
std::optional<problem> run_filters(call& request,
                                   const filter_context& context);

} // namespace vanillapost::entry

#endif
