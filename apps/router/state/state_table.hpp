#ifndef VANILLAPOST_APPS_ROUTER_STATE_STATE_TABLE_HPP
#define VANILLAPOST_APPS_ROUTER_STATE_STATE_TABLE_HPP

#include "state/revision_spans.hpp"
#include "state/state_difference.hpp"

#include <map>
#include <span>
#include <vector>

namespace vanillapost::router {

/// A replica of one of the store's tables. A row is never replaced by an older
/// one, whatever the path and the order in which changes arrive. When the store
/// is restored from an older copy, the rows of the copy are newer than all that
/// were known (\ref make_revision).
///
/// A row takes effect when it arrives, also while earlier changes are missing.
/// That a key has no row is certain only up to `revision`.
class state_table
{
public:
    /// Up to this revision no change is missing; 0 before the first whole
    /// table.
    std::uint64_t revision() const
    {
        return known_spans_.complete();
    }

    /// The revisions up to `newest` whose changes are missing, the oldest
    /// first.
    std::vector<revision_span> gaps(std::uint64_t newest) const
    {
        return known_spans_.gaps(newest);
    }

    /// Applies the rows that are newer than those held here.
    /// \return the rows that changed, removed ones marked as such
    std::vector<io::store_row> apply(const state_difference& difference,
                                     time_point now);

    /// Whether no change before a difference is missing.
    bool follows(const state_difference& difference) const
    {
        return difference.whole || difference.after <= revision();
    }

    /// What an instance lacks that knows the table up to `revision`: the whole
    /// table when removals since then are no longer known here.
    state_difference since(std::uint64_t revision) const;

    /// The changes in `spans` that are known here, for an instance that lacks
    /// them: one difference for each known part of a span.
    /// \param spans  disjoint, the oldest first
    std::vector<state_difference>
    changes_within(std::span<const revision_span> spans) const;

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

    std::map<std::string, io::store_row> rows_; ///< including removals
    std::vector<removal> removals_;
    revision_spans known_spans_;
    std::uint64_t forgotten_upto_ = 0; ///< removals up to this may be unknown
};

} // namespace vanillapost::router

#endif
