#ifndef VANILLAPOST_SRC_HOLDS_PROMISE_BOOK_HPP
#define VANILLAPOST_SRC_HOLDS_PROMISE_BOOK_HPP

#include "../base/identifier.hpp"
#include "hold_settings.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace vanillapost {

/// Promises not to take over, given by this entry as successor and received
/// by it as holder.
class promise_book
{
public:
    explicit promise_book(const hold_settings& settings);

    /// Gives a promise to a holder; it binds this entry until
    /// \ref bound_until.
    void grant(const entry_incarnation& to, time_point now);

    /// Until when this entry may not take over from a holder.
    time_point bound_until(const entry_incarnation& to) const;

    /// Number of the next question to a successor, if one is due.
    std::optional<std::uint64_t> ask(const entry_incarnation& of,
                                     time_point now);

    /// Takes in an answer; an unknown number or another sender is ignored.
    void on_answer(const entry_incarnation& from, std::uint64_t id,
                   bool granted);

    /// Until when a successor has promised not to take over, counted from
    /// before it was asked; in the past when there is no promise.
    time_point promised_until(const entry_incarnation& by) const;

    /// Drops what has expired.
    void forget_old(time_point now);

private:
    struct question
    {
        entry_incarnation of;
        time_point sent{};
    };

    hold_settings settings_;
    std::uint64_t last_id_ = 0;
    std::map<entry_incarnation, time_point> bound_until_;
    std::map<entry_incarnation, time_point> promised_until_;
    std::map<entry_incarnation, time_point> asked_at_;
    std::map<std::uint64_t, question> questions_;
};

} // namespace vanillapost

#endif
