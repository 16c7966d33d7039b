#ifndef VANILLAPOST_APPS_ROUTER_PEERS_CHANGE_MESSAGES_HPP
#define VANILLAPOST_APPS_ROUTER_PEERS_CHANGE_MESSAGES_HPP

#include "state/replicated_table.hpp"
#include "state/revision_spans.hpp"
#include "state/state_difference.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace vanillapost::router {

/// A payload of this size fits into one network packet.
constexpr std::size_t max_payload_bytes = 1200;

/// Change of a table, as received from a peer.
struct received_change
{
    replicated_table table = replicated_table::operators;
    state_difference change;
    bool pass_on = false; ///< the receiver forwards it in its data centre
};

/// Request of a peer for the changes of a table that it lacks.
struct repair_request
{
    replicated_table table = replicated_table::operators;
    std::vector<revision_span> spans;
};

/// Returns the message that carries a change; CBOR, as of the others below.
std::string format_change(replicated_table table,
                          const state_difference& change, bool pass_on);

/// \throws error  when a field is missing or invalid
received_change parse_change(const nlohmann::json& message);

std::string format_repair_request(const repair_request& request);

/// Notice of a change that does not fit into datagrams. A receiver that lacks
/// the change requests all changes that it lacks from the sender.
struct oversized_change
{
    replicated_table table = replicated_table::operators;
    std::uint64_t revision = 0;
    /// The receiver forwards the notice in its data centre once it has the
    /// change.
    bool pass_on = false;
};

std::string format_oversized_change(const oversized_change& notice);

bool is_oversized_change(const nlohmann::json& message);

/// \throws error  when a field is missing or invalid
oversized_change parse_oversized_change(const nlohmann::json& message);

bool is_repair_request(const nlohmann::json& message);

/// \throws error  when a field is missing or invalid
repair_request parse_repair_request(const nlohmann::json& message);

} // namespace vanillapost::router

#endif
