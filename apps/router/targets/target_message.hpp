#ifndef VANILLAPOST_APPS_ROUTER_TARGETS_TARGET_MESSAGE_HPP
#define VANILLAPOST_APPS_ROUTER_TARGETS_TARGET_MESSAGE_HPP

#include "adapters/platform_adapter.hpp"
#include "vanillapost/attempts.hpp"
#include "vanillapost/members.hpp"
#include "vanillapost/src/io/target_pool.hpp"

namespace vanillapost::router {

/// Formats a caller's request for a target: removes hop-by-hop headers, and
/// adds the deadline, the id of the only target that may run the request, and
/// the organisation of the caller.
/// \param left          time until the deadline
/// \param organisation  nullopt if callers need no key
std::string
format_target_message(const io::http_request& request,
                      const listed_target& target, const header_names& names,
                      duration left,
                      const std::optional<organisation_id>& organisation);

/// Classifies a target's answer by its status and headers.
attempt_outcome classify_answer(const io::target_answer_head& head,
                                const header_names& names);

/// In requests that an instance relays to a peer.
inline constexpr std::string_view relayed_by_header = "Relayed-By";

/// Returns the request as sent to a peer, which is to send it to a target.
/// \param left      time left for the answer
/// \param attempts  number of targets that it may still run on
/// \param authorization  of the caller, whom the peer identifies again; empty
///                       if callers need no key
std::string format_relayed_request(const io::http_request& request,
                                   const member& self,
                                   const header_names& names, duration left,
                                   int attempts,
                                   std::string_view authorization);

/// Number of targets that a relayed request may run on, as its `Relayed-By`
/// says; nothing if it is missing, as in builds before it was added, or no
/// positive number.
std::optional<int> parse_relayed_attempts(std::string_view relayed_by);

/// Returns the outcome of a relayed request. A peer's own refusal promises that
/// the request has not run.
attempt_outcome classify_peer_answer(const io::target_answer_head& head,
                                     const header_names& names);

/// The load report in an answer; nothing when it is missing or unreadable.
std::optional<load_report> read_report(const io::target_answer_head& head,
                                       const platform_adapter& adapter);

} // namespace vanillapost::router

#endif
