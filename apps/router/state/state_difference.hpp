#ifndef VANILLAPOST_APPS_ROUTER_STATE_STATE_DIFFERENCE_HPP
#define VANILLAPOST_APPS_ROUTER_STATE_STATE_DIFFERENCE_HPP

#include "vanillapost/base.hpp"
#include "vanillapost/src/io/row_store.hpp"

#include <nlohmann/json.hpp>
#include <span>
#include <vector>

namespace vanillapost::router {

/// Rows of one of the store's tables that one instance has and another lacks.
///
/// Each row holds the state of its key at the row's revision, independent of
/// other rows. The difference also says of which revisions it holds all
/// changes: an instance that lacks earlier changes applies the rows
/// nevertheless, and requests what is missing.
struct state_difference
{
    std::uint64_t after = 0;    ///< holds all changes after this revision,
    std::uint64_t revision = 0; ///< up to this one; single rows may be newer
    bool whole = false; ///< holds all rows: a key without a row was removed
    /// The store is back from an outage, so removed targets may register again.
    bool after_outage = false;
    std::vector<io::store_row> rows;
    /// Time since an instance read the newest change in it from the store.
    duration age{};
    /// For how long removed targets may still register again.
    duration relist_left{};
    /// The rows are as in a store that was restored from an older copy
    /// (\ref restored_rows).
    bool restored = false;

    /// Whether it holds single rows, and all changes of no revision.
    bool has_rows_only() const
    {
        return !whole && after == revision;
    }
};

/// Formats a difference as a part of a message. Keys and values of rows are
/// byte strings, since their writers may store any bytes, not only UTF-8.
nlohmann::json to_message(const state_difference& difference);

/// \throws error  when a field is missing, of another type or out of range
state_difference parse_state_difference(const nlohmann::json& document);

/// Splits a difference into parts that each fit into a message of about
/// `max_bytes`. The rows of one revision stay in one part; when they are too
/// long for a message, they and their revision are left out. A whole table
/// yields no parts: a part of it would count as the whole, and remove the other
/// rows.
std::vector<state_difference> split(const state_difference& difference,
                                    std::size_t max_bytes);

/// Whether the parts hold all rows and revisions of a difference.
bool covers(std::span<const state_difference> parts,
            const state_difference& difference);

} // namespace vanillapost::router

#endif
