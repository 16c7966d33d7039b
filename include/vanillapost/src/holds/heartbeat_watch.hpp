#ifndef VANILLAPOST_SRC_HOLDS_HEARTBEAT_WATCH_HPP
#define VANILLAPOST_SRC_HOLDS_HEARTBEAT_WATCH_HPP

#include "../base/identifier.hpp"
#include "../table/table.hpp"
#include "heartbeat_row.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace vanillapost {

/// Other entries' heartbeat rows, as far as this entry has to know them.
class heartbeat_watch
{
public:
    /// Says whose rows matter; the others are forgotten.
    void set_watched(const std::set<entry_id>& names);

    const std::set<entry_id>& watched() const
    {
        return watched_;
    }

    /// Takes in a row that was read; `now` is when the answer came.
    void on_row(const entry_id& name, const table_row& row, time_point now);

    /// Since when the incarnation has not renewed its heartbeat, as seen
    /// here. A row that another incarnation owns cannot be renewed.
    std::optional<time_point> silent_since(const entry_incarnation& who) const;

    /// Revision that a takeover has to check, absent when the row belongs to
    /// another incarnation and thus says nothing more about this one.
    std::optional<revision>
    revision_to_check(const entry_incarnation& who) const;

    /// Whether the incarnation was seen to renew its heartbeat within
    /// `length`.
    bool beating(const entry_incarnation& who, duration length,
                 time_point now) const;

private:
    struct seen
    {
        revision at = 0;
        std::string incarnation;
        time_point changed_at{};
        time_point incarnation_since{};
        bool renewed = false;
    };

    std::set<entry_id> watched_;
    std::map<entry_id, seen> seen_;
};

} // namespace vanillapost

#endif
