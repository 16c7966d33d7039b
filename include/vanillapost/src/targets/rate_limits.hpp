#ifndef VANILLAPOST_SRC_TARGETS_RATE_LIMITS_HPP
#define VANILLAPOST_SRC_TARGETS_RATE_LIMITS_HPP

#include "../base/time.hpp"
#include "detail/start_notes.hpp"
#include "rate_limit_note.hpp"

namespace vanillapost {

/// What is new in something that a target said.
enum class rate_limit_news
{
    none,
    named,   ///< a limit where there was none
    changed, ///< another one
    ended
};

/// The rates that targets take from all instances together, as one instance
/// knows them.
///
/// A target names its limit in answers only, so instances tell each other. The
/// one that is told something new by the target raises the version, and what
/// has a higher version replaces what others know: whatever is lost, late or
/// told twice, all come to the same. Of equal versions, the lower limit goes
/// first. An instance that is told the same again has nothing to pass on.
///
/// A limit is of one start of its target and holds until that start says
/// otherwise: silence does not end it.
class rate_limits
{
public:
    /// The target's own word in an answer.
    /// \param per_second  nothing: the answer names no limit
    /// \param asked_at    when that answer was asked for. Who was asked before
    ///                    the limit was known here says nothing of its end
    rate_limit_news on_told(const target_id& id, std::int64_t born,
                            std::optional<double> per_second,
                            time_point asked_at, time_point now);

    /// What a peer knows.
    /// \return whether it was new
    bool merge(const rate_limit_note& told, time_point now);

    /// The limit of that start.
    std::optional<double> find(const target_id& id, std::int64_t born) const;

    /// Some of the notes for a peer, further ones with each call, until all
    /// have been told; then again from the first.
    /// \param max_bytes  that they take in a message, about
    std::vector<rate_limit_note> next_to_tell(std::size_t max_bytes,
                                              time_point now);

    /// What is known of a target, as peers are told it.
    std::optional<rate_limit_note> note_of(const target_id& id) const;

    /// All notes, for an instance that knows none.
    std::vector<rate_limit_note> all() const;

    std::size_t size() const
    {
        return notes_.all().size();
    }

    static constexpr std::size_t max_notes = 20'000;

    /// For so long peers are told that a limit has ended.
    static constexpr duration end_is_told = std::chrono::seconds(30);

private:
    struct note
    {
        std::int64_t born = -1;
        std::uint64_t version = 0;
        std::optional<double> per_second;
        time_point since{}; ///< when it came to be known here

        std::int64_t newest_born() const
        {
            return born;
        }
    };

    static bool replaces(const rate_limit_note& told, const note& known);
    void forget_ended(time_point now);

    detail::start_notes<note, max_notes> notes_;
    target_id told_last_;
};

} // namespace vanillapost

#endif
