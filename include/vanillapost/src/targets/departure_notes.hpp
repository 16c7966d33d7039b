#ifndef VANILLAPOST_SRC_TARGETS_DEPARTURE_NOTES_HPP
#define VANILLAPOST_SRC_TARGETS_DEPARTURE_NOTES_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"
#include "detail/start_notes.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace vanillapost {

/// Which starts of targets have said that they leave.
///
/// A target that leaves says so in its row and in its answers; the two differ
/// for as long as news of rows takes. The first of these that applies decides:
///
/// 1. A start with a later `born` is bound by nothing that was said of an
///    earlier one.
/// 2. A target's own word, in an answer to this instance, holds until that
///    start is over, whatever its row or its health check says.
/// 3. A peer's word holds once for each start, for \ref peer_word_lasts.
/// 4. The row's state.
///
/// An answer that does not mention it and a good health check change nothing.
/// Notes outlast the row of their target, so that a row that comes back does
/// not bring back a target that has left.
class departure_notes
{
public:
    /// A target's own word.
    /// \param born  of the start that gave it, from its row; Unix ms
    /// \return false when it was known
    bool on_told(const target_id& id, std::int64_t born);

    /// A peer's word about a target. Says nothing when the target has spoken
    /// for itself.
    /// \return false when it was known
    bool on_peer_told(const target_id& id, std::int64_t born, time_point now);

    /// Whether that start is not to get new work.
    bool is_leaving(const target_id& id, std::int64_t born,
                    time_point now) const;

    std::size_t size() const
    {
        return notes_.all().size();
    }

    /// A peer may be wrong, or speak of a start that is over.
    static constexpr duration peer_word_lasts = std::chrono::seconds(3);

    /// Bound on memory. Beyond it the earliest starts are forgotten, which
    /// are the ones least likely to be still there.
    static constexpr std::size_t max_notes = 20'000;

private:
    struct note
    {
        std::optional<std::int64_t> told_born;
        std::optional<std::int64_t> peer_born;
        time_point peer_until{};

        std::int64_t newest_born() const;
    };

    detail::start_notes<note, max_notes> notes_;
};

} // namespace vanillapost

#endif
