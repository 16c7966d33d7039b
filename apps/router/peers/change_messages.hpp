#ifndef VANILLAPOST_APPS_ROUTER_PEERS_CHANGE_MESSAGES_HPP
#define VANILLAPOST_APPS_ROUTER_PEERS_CHANGE_MESSAGES_HPP

#include "state/revision_spans.hpp"
#include "state/shared_table.hpp"
#include "state/state_difference.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace vanillapost::router {

/// Fits into a packet on its way.
constexpr std::size_t max_datagram_bytes = 1200;

/// A change of a table, from a peer.
struct told_change
{
    shared_table table = shared_table::operators;
    state_difference change;
    bool pass_on = false; ///< to all of the receiver's data centre
};

/// A question of a peer for changes that it lacks.
struct change_question
{
    shared_table table = shared_table::operators;
    std::vector<revision_span> spans;
};

std::string format_change(shared_table table, const state_difference& change,
                          bool pass_on);

/// \throws error  when a field is missing or makes no sense
told_change parse_change(const nlohmann::json& message);

std::string format_question(const change_question& question);

/// News of a change that does not fit into datagrams: who lacks it asks the
/// sender for all that is missing.
struct long_change
{
    shared_table table = shared_table::operators;
    std::uint64_t revision = 0;
    bool pass_on = false; ///< to all of the receiver's data centre, once known
};

std::string format_long_change(const long_change& news);

bool is_long_change(const nlohmann::json& message);

/// \throws error  when a field is missing or makes no sense
long_change parse_long_change(const nlohmann::json& message);

bool is_question(const nlohmann::json& message);

/// \throws error  when a field is missing or makes no sense
change_question parse_question(const nlohmann::json& message);

} // namespace vanillapost::router

#endif
