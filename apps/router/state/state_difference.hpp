#ifndef VANILLAPOST_APPS_ROUTER_STATE_STATE_DIFFERENCE_HPP
#define VANILLAPOST_APPS_ROUTER_STATE_STATE_DIFFERENCE_HPP

#include "vanillapost/base.hpp"
#include "vanillapost/src/io/row_store.hpp"

#include <nlohmann/json.hpp>
#include <span>
#include <vector>

namespace vanillapost::router {

/// Rows of a table of the store that one instance has and another lacks.
///
/// Each row says by itself how its key was at the row's revision. Beside that
/// a difference says of which revisions it holds all changes: who misses some
/// before these takes the rows all the same, and asks for the rest.
struct state_difference
{
    std::uint64_t after = 0;    ///< it holds all changes after this,
    std::uint64_t revision = 0; ///< up to this; rows may be newer
    bool whole = false; ///< all rows: what is not among them was removed
    /// The store has just come back: removed targets may list themselves again.
    bool after_outage = false;
    std::vector<io::store_row> rows;
    /// Since an instance read the newest of it from the store.
    duration age{};
    /// For how long removed targets may still list themselves again.
    duration relist_left{};

    /// Whether it holds rows only, and not all changes of any revision.
    bool is_loose() const
    {
        return !whole && after == revision;
    }
};

/// As a part of a message. Keys and values of rows are byte strings: whoever
/// writes them may write anything.
nlohmann::json to_message(const state_difference& difference);

/// \throws error  when a field is missing or of another type
state_difference parse_state_difference(const nlohmann::json& document);

/// The difference in parts, each for a message of about `max_bytes`. The rows
/// of one revision stay together; those that are too long for a message are
/// left out, with their revision. None of a whole table, which a part could
/// not stand for.
std::vector<state_difference> split(const state_difference& difference,
                                    std::size_t max_bytes);

/// Whether parts of a difference leave out none of its rows and revisions.
bool covers(std::span<const state_difference> parts,
            const state_difference& difference);

} // namespace vanillapost::router

#endif
