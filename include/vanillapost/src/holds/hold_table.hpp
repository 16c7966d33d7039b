#ifndef VANILLAPOST_SRC_HOLDS_HOLD_TABLE_HPP
#define VANILLAPOST_SRC_HOLDS_HOLD_TABLE_HPP

#include "../table/table.hpp"
#include "hold_row.hpp"

#include <map>
#include <optional>
#include <set>

namespace vanillapost {

/// A hold row as this process last read or wrote it.
struct known_hold
{
    revision at = 0;
    std::optional<hold_row> row = std::nullopt; ///< absent when erased
    bool readable = true; ///< false: never to be overwritten

    /// What a write has to expect: 0 when there is no row.
    revision expected() const
    {
        return row ? at : 0;
    }
};

/// Copy of the hold rows in one process.
///
/// A row is only replaced by one with a higher revision, so that late answers
/// never bring back an older state.
class hold_table
{
public:
    explicit hold_table(entry_incarnation self);

    /// Takes in a row; returns whether it was newer than the known one.
    bool apply(const table_row& row);

    /// Takes in a row that this process has written.
    bool apply(const target_id& target, revision at,
               std::optional<hold_row> row);

    const known_hold* find(const target_id& target) const;

    /// The row of a target, if there is one.
    const hold_row* row(const target_id& target) const;

    const std::map<target_id, known_hold>& rows() const
    {
        return rows_;
    }

    /// Targets whose row names this entry as holder, previous or successor.
    const std::set<target_id>& own() const
    {
        return own_;
    }

private:
    bool store(const target_id& target, known_hold known);

    entry_incarnation self_;
    std::map<target_id, known_hold> rows_;
    std::set<target_id> own_;
};

} // namespace vanillapost

#endif
