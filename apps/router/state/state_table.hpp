#ifndef VANILLAPOST_APPS_ROUTER_STATE_STATE_TABLE_HPP
#define VANILLAPOST_APPS_ROUTER_STATE_STATE_TABLE_HPP

#include "vanillapost/base.hpp"
#include "vanillapost/src/io/row_store.hpp"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <vector>

namespace vanillapost::router {

/// Rows of a table of the store that one instance has and another lacks.
struct state_difference
{
    std::uint64_t after = 0;    ///< what the other must know already
    std::uint64_t revision = 0; ///< what it knows afterwards
    bool whole = false; ///< all rows: what is not among them was removed
    /// The store has just come back: removed targets may list themselves again.
    bool after_outage = false;
    std::vector<io::store_row> rows;
    /// Since an instance read the newest of it from the store.
    duration age{};
};

/// As a part of a message. Keys and values of rows are byte strings: whoever
/// writes them may write anything.
nlohmann::json to_message(const state_difference& difference);

/// \throws error  when a field is missing or of another type
state_difference parse_state_difference(const nlohmann::json& document);

/// The difference in parts that are applied one after the other, each for a
/// message of about `max_bytes`; none when it cannot be cut so, as the rows of
/// one revision stay together.
std::vector<state_difference> split(const state_difference& difference,
                                    std::size_t max_bytes);

/// A copy of one table of the store. Rows never go back, whichever way and in
/// whichever order news of them arrives.
class state_table
{
public:
    /// Revision of the newest change; 0 before the first reading.
    std::uint64_t revision() const
    {
        return revision_;
    }

    /// Takes over what is new.
    /// \return the rows that changed, removed ones marked as such
    std::vector<io::store_row> apply(const state_difference& difference,
                                     time_point now);

    /// Whether a difference can be applied: nothing is missing before it.
    bool follows(const state_difference& difference) const
    {
        return difference.whole || difference.after <= revision_;
    }

    /// What an instance lacks that knows the table up to `revision`.
    state_difference since(std::uint64_t revision) const;

    const std::map<std::string, io::store_row>& rows() const
    {
        return rows_;
    }

private:
    struct removal
    {
        std::string key;
        std::uint64_t revision;
        time_point at;
    };

    bool put(const io::store_row& row, time_point now);
    void forget_removals(time_point now);

    std::map<std::string, io::store_row> rows_; ///< removed ones too
    std::vector<removal> removals_;
    std::uint64_t revision_ = 0;
    std::uint64_t forgotten_ = 0; ///< up to where removals are not known
};

} // namespace vanillapost::router

#endif
