#ifndef VANILLAPOST_APPS_ROUTER_STATE_STATE_TABLE_HPP
#define VANILLAPOST_APPS_ROUTER_STATE_STATE_TABLE_HPP

#include "state/revision_spans.hpp"
#include "state/state_difference.hpp"

#include <map>
#include <span>
#include <vector>

namespace vanillapost::router {

/// A copy of one table of the store. Rows never go back, whichever way and in
/// whichever order news of them arrives.
///
/// A row binds as soon as it comes, also where changes before it are missing.
/// That a key is absent is known only up to `revision`.
class state_table
{
public:
    /// Up to this revision no change is missing; 0 before the first reading.
    std::uint64_t revision() const
    {
        return known_.complete();
    }

    /// The changes up to `newest` that are missing, the oldest first.
    std::vector<revision_span> gaps(std::uint64_t newest) const
    {
        return known_.gaps(newest);
    }

    /// Takes over what is new.
    /// \return the rows that changed, removed ones marked as such
    std::vector<io::store_row> apply(const state_difference& difference,
                                     time_point now);

    /// Whether nothing is missing before a difference.
    bool follows(const state_difference& difference) const
    {
        return difference.whole || difference.after <= revision();
    }

    /// What an instance lacks that knows the table up to `revision`.
    state_difference since(std::uint64_t revision) const;

    /// What is known here of the changes of some spans, for an instance that
    /// lacks them: a difference for each part of them that is known.
    /// \param spans  apart from each other, the oldest first
    std::vector<state_difference>
    within(std::span<const revision_span> spans) const;

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

    void remove_unlisted(const state_difference& whole, time_point now,
                         std::vector<io::store_row>& changed);
    bool may_be_removed(const io::store_row& row) const;
    bool put(const io::store_row& row, time_point now);
    void forget_removals(time_point now);

    std::map<std::string, io::store_row> rows_; ///< removed ones too
    std::vector<removal> removals_;
    revision_spans known_;
    std::uint64_t forgotten_ = 0; ///< up to where removals are not known
};

} // namespace vanillapost::router

#endif
