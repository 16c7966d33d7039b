#ifndef VANILLAPOST_SRC_MEMBERS_READER_CHOICE_HPP
#define VANILLAPOST_SRC_MEMBERS_READER_CHOICE_HPP

#include "../base/time.hpp"
#include "member_table.hpp"

#include <optional>
#include <span>

namespace vanillapost {

struct reader_settings
{
    /// Instances that follow the store for all. With three, the rest still
    /// learns of changes while one is cut off and another has just died.
    std::size_t readers = 3;
    /// A reader that was not heard for so long is not relied on.
    duration silence_limit = std::chrono::milliseconds(900);
    /// Someone else knowing more for so long means that relays do not arrive.
    duration behind_limit = std::chrono::milliseconds(700);
    /// A reader that is not needed any more goes on for this time.
    duration release_delay = std::chrono::seconds(2);
    /// After its start an instance does not know all others yet: for this
    /// time it takes itself for a reader only if it hears none.
    duration settling_time = std::chrono::seconds(2);
    /// How long it waits after its start to hear a reader.
    duration patience = std::chrono::milliseconds(700);
};

/// Decides whether this instance follows the platform's store itself.
///
/// Calls to the store cost money and its rate is shared: at 860 targets and
/// dozens of instances, all following it would use most of that rate. A few
/// readers follow it and pass every change on; the others rely on them while
/// they are heard, and follow the store themselves as soon as they are not.
class reader_choice
{
public:
    explicit reader_choice(time_point start,
                           const reader_settings& settings = {});

    /// Peers cannot tell what is asked: follow the store for a while.
    void need_store(time_point now)
    {
        needed_at_ = now;
    }

    /// \param store      what this instance found of the store
    /// \param revisions  up to where this instance knows its tables
    bool should_follow(const entry_id& self, store_access store,
                       const state_revisions& revisions,
                       std::span<const known_member> live, time_point now);

private:
    /// Each table by itself: while one moves, the other can stand still.
    struct table_progress
    {
        std::uint64_t seen = 0; ///< own revision when last compared
        std::optional<time_point> behind_since;
    };

    bool is_reader(const entry_id& self, store_access store,
                   std::span<const known_member> live) const;
    bool must_follow(const entry_id& self, store_access store,
                     std::span<const known_member> live, time_point now) const;
    bool is_behind(const state_revisions& revisions,
                   std::span<const known_member> live, time_point now);
    bool stays_behind(table_progress& table, std::uint64_t known,
                      std::uint64_t newest, time_point now) const;

    reader_settings settings_;
    time_point start_;
    table_progress operators_;
    table_progress targets_;
    std::optional<time_point> needed_at_;
};

} // namespace vanillapost

#endif
