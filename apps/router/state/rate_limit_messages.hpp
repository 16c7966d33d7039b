#ifndef VANILLAPOST_APPS_ROUTER_STATE_RATE_LIMIT_MESSAGES_HPP
#define VANILLAPOST_APPS_ROUTER_STATE_RATE_LIMIT_MESSAGES_HPP

#include "reporting/router_log.hpp"
#include "state/knowledge.hpp"

#include <nlohmann/json.hpp>
#include <span>

namespace vanillapost::router {

/// Rates that targets take, as a part of a message to a peer.
nlohmann::json format_rate_limits(std::span<const rate_limit_note> notes);

/// Takes that part of a peer's message. A note that cannot be read is logged
/// and leaves the others, and the rest of the message, as they are.
/// \param peer  for the log
void take_rate_limits(const nlohmann::json& list, std::string_view peer,
                      knowledge& known, router_log& log, time_point now);

} // namespace vanillapost::router

#endif
