#ifndef VANILLAPOST_APPS_ROUTER_STATE_RATE_LIMIT_MESSAGES_HPP
#define VANILLAPOST_APPS_ROUTER_STATE_RATE_LIMIT_MESSAGES_HPP

#include "reporting/router_log.hpp"
#include "state/cluster_view.hpp"

#include <nlohmann/json.hpp>
#include <span>

namespace vanillapost::router {

/// Formats rate limits of targets as a part of a message to a peer.
nlohmann::json format_rate_limits(std::span<const versioned_rate_limit> limits);

/// Applies the rate limits in a peer's message. One that cannot be parsed is
/// logged and skipped; the others, and the rest of the message, still count.
/// \param peer  for the log
void apply_rate_limits(const nlohmann::json& list, std::string_view peer,
                       cluster_view& cluster, router_log& log, time_point now);

} // namespace vanillapost::router

#endif
