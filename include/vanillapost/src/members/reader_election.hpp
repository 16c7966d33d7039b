#ifndef VANILLAPOST_SRC_MEMBERS_READER_ELECTION_HPP
#define VANILLAPOST_SRC_MEMBERS_READER_ELECTION_HPP

#include "../base/time.hpp"
#include "member_table.hpp"

#include <optional>
#include <span>

namespace vanillapost {

struct reader_election_settings
{
    /// Number of instances that read the store on behalf of all. With three,
    /// the others still learn of changes while one reader is cut off and
    /// another has just died.
    std::size_t readers = 3;
    /// A reader that has been silent for longer is not relied on.
    duration silence_limit = std::chrono::milliseconds(900);
    /// Lagging behind a peer for longer than this means that relayed changes do
    /// not arrive.
    duration max_lag_time = std::chrono::milliseconds(700);
    /// A reader that is no longer needed continues for this time.
    duration release_delay = std::chrono::seconds(2);
    /// An instance that has just started does not know all others yet. For this
    /// time it becomes a reader only if it hears of no other.
    duration settling_time = std::chrono::seconds(2);
    /// How long an instance waits after its start to hear from a reader.
    duration reader_wait = std::chrono::milliseconds(700);
};

/// Decides whether this instance reads changes from the platform's store
/// itself.
///
/// Calls to the store cost money, and all clients share its rate limit: with
/// 860 targets and dozens of instances, reading it from every instance would
/// use most of that limit. Instead a few readers read it and relay every
/// change. The others rely on the readers as long as they hear from them, and
/// read the store themselves otherwise.
class reader_election
{
public:
    explicit reader_election(time_point start,
                             const reader_election_settings& settings = {});

    /// Peers could not provide what this instance needs: read the store for
    /// `release_delay`.
    void need_store(time_point now)
    {
        needed_at_ = now;
    }

    /// Whether this instance has to read the store now.
    /// \param store      whether this instance could last reach the store
    /// \param revisions  revisions of the tables that this instance knows
    /// \param live       live peers with their last heartbeats
    bool should_follow(const entry_id& self, store_access store,
                       const state_revisions& revisions,
                       std::span<const peer_status> live, time_point now);

private:
    /// Kept per table: one can advance while the other stalls.
    struct table_progress
    {
        std::uint64_t last_compared = 0; ///< own revision at the last call
        std::optional<time_point> behind_since;
    };

    bool is_reader(const entry_id& self, store_access store,
                   std::span<const peer_status> live) const;
    bool must_follow(const entry_id& self, store_access store,
                     std::span<const peer_status> live, time_point now) const;
    bool is_behind(const state_revisions& revisions,
                   std::span<const peer_status> live, time_point now);
    bool lags_too_long(table_progress& table, std::uint64_t known,
                       std::uint64_t newest, time_point now) const;

    reader_election_settings settings_;
    time_point start_;
    table_progress operators_;
    table_progress targets_;
    std::optional<time_point> needed_at_;
};

} // namespace vanillapost

#endif
