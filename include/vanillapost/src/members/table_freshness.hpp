#ifndef VANILLAPOST_SRC_MEMBERS_TABLE_FRESHNESS_HPP
#define VANILLAPOST_SRC_MEMBERS_TABLE_FRESHNESS_HPP

#include "member_table.hpp"

#include <span>

namespace vanillapost {

/// Tracks whether this instance's copy of the operators' table is up to date.
///
/// An instance that has just started may have copied outdated rows from a peer
/// that lags behind. A row missing there may still exist, so the copy counts
/// as up to date only once it has caught up with an instance that reads the
/// store.
class table_freshness
{
public:
    /// \param silence_limit  a reader that has been silent for longer does
    ///                       not confirm the copy
    explicit table_freshness(
        duration silence_limit = std::chrono::milliseconds(900));

    /// \param operators    revision of the table that this instance knows
    /// \param reads_store  this instance reads the store, and the store
    ///                     answers
    /// \param live         live peers with their last heartbeats
    void update(std::uint64_t operators, bool reads_store,
                std::span<const peer_status> live);

    /// Stays true while the store is unavailable, unless a peer knows a newer
    /// revision.
    bool is_fresh() const
    {
        return confirmed_ && !behind_;
    }

private:
    bool is_reader(const peer_status& each) const;

    duration silence_limit_;
    bool confirmed_ = false;
    bool behind_ = false;
};

} // namespace vanillapost

#endif
