#include "vanillapost/src/holds/promise_book.hpp"

#include <algorithm>

namespace vanillapost {

promise_book::promise_book(const hold_settings& settings) : settings_(settings)
{
}

void promise_book::grant(const entry_incarnation& to, time_point now)
{
    bound_until_[to] = now + settings_.takeover_wait();
}

time_point promise_book::bound_until(const entry_incarnation& to) const
{
    const auto found = bound_until_.find(to);
    return found == bound_until_.end() ? time_point{} : found->second;
}

std::optional<std::uint64_t> promise_book::ask(const entry_incarnation& of,
                                               time_point now)
{
    const auto last = asked_at_.find(of);
    if (last != asked_at_.end() &&
        now - last->second < settings_.heartbeat_interval) {
        return std::nullopt;
    }
    asked_at_[of] = now;
    questions_[++last_id_] = {.of = of, .sent = now};
    return last_id_;
}

void promise_book::on_answer(const entry_incarnation& from, std::uint64_t id,
                             bool granted)
{
    const auto found = questions_.find(id);
    if (found == questions_.end() || found->second.of != from) {
        return;
    }
    if (granted) {
        time_point& until = promised_until_[from];
        until = std::max(until, found->second.sent + settings_.lease);
    }
    questions_.erase(found);
}

time_point promise_book::promised_until(const entry_incarnation& by) const
{
    const auto found = promised_until_.find(by);
    return found == promised_until_.end() ? time_point{} : found->second;
}

void promise_book::forget_old(time_point now)
{
    const duration old = settings_.lease;
    std::erase_if(bound_until_,
                  [now](const auto& item) { return item.second <= now; });
    std::erase_if(promised_until_, [now, old](const auto& item) {
        return item.second + old <= now;
    });
    std::erase_if(asked_at_, [now, old](const auto& item) {
        return item.second + old <= now;
    });
    std::erase_if(questions_, [now, old](const auto& item) {
        return item.second.sent + old <= now;
    });
}

} // namespace vanillapost
