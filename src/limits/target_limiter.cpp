#include "vanillapost/src/limits/target_limiter.hpp"

#include <algorithm>
#include <cassert>

namespace vanillapost {

target_limiter::target_limiter(const target_limiter_settings& settings)
    : settings_(settings), ramp_({.cold_slots = settings.cold_slots,
                                  .warm_slots = settings.slots,
                                  .good_per_level = settings.good_per_level})
{
}

std::optional<slot_ticket> target_limiter::try_acquire(time_point now,
                                                       const slot_share& share,
                                                       time_point deadline)
{
    if (free(now, share) <= 0)
        return std::nullopt;
    const int next = static_cast<int>(running_.size()) + 1;
    deadline = std::min(deadline, now + settings_.max_attempt);
    // Beyond half of the limit, the work must be over before another entry
    // may use the other half.
    if (next > half(share))
        deadline = std::min(deadline, share.exclusive_until + settings_.grace);
    if (deadline < now + settings_.shortest_deadline)
        return std::nullopt;
    const slot_ticket ticket{next_number_++, deadline};
    running_[ticket.number] = {.started = now, .deadline = deadline};
    note_busy();
    assert(in_flight(now) <= limit(now, share));
    return ticket;
}

void target_limiter::finish(const slot_ticket& ticket, time_point now,
                            completion how, target_state state)
{
    const auto found = running_.find(ticket.number);
    // An abandoned request has left by its deadline already.
    if (found == running_.end() || found->second.abandoned) {
        assert(ticket.number < next_number_);
        on_state(state);
        return;
    }
    const running request = found->second;
    learn(request, how, state);
    end(found->second, now, how);
    if (!found->second.abandoned)
        running_.erase(found);
    const bool answered = how == completion::good || how == completion::slow ||
                          how == completion::failed ||
                          how == completion::shed || how == completion::not_run;
    if (answered)
        on_alive(request.started);
}

void target_limiter::end(running& request, time_point now, completion how)
{
    switch (how) {
    case completion::broken:
    case completion::timed_out:
        request.abandoned = true;
        break;
    case completion::cancelled:
        request.abandoned = true;
        request.cancelled_at = now;
        break;
    default:
        break;
    }
}

void target_limiter::learn(const running& request, completion how,
                           target_state state)
{
    on_state(state);
    switch (how) {
    case completion::good:
        if (state != target_state::cold && state != target_state::draining)
            ramp_.on_good(request.busy);
        break;
    case completion::slow:
    case completion::failed:
    case completion::timed_out:
        ramp_.on_doubt();
        break;
    case completion::shed:
    case completion::refused:
    case completion::broken:
        // No other entry sends work, so what it shed was within the limit.
        ramp_.on_cold_sign();
        break;
    case completion::not_run:
    case completion::cancelled:
        break;
    }
}

void target_limiter::on_state(target_state state)
{
    switch (state) {
    case target_state::unknown:
        break;
    case target_state::draining:
        draining_ = true;
        break;
    case target_state::cold:
        draining_ = false;
        ramp_.on_cold_sign();
        break;
    case target_state::warm:
        if (draining_)
            ramp_.on_cold_sign();
        draining_ = false;
        break;
    }
}

void target_limiter::on_alive(time_point sent)
{
    std::erase_if(running_, [&](const auto& item) {
        const auto& cancelled = item.second.cancelled_at;
        return cancelled && *cancelled + settings_.cancel_time <= sent;
    });
}

void target_limiter::mark_cold()
{
    ramp_.on_cold_sign();
}

void target_limiter::mark_warm()
{
    ramp_.on_warm_knowledge();
}

void target_limiter::change_limits(int slots, int cold_slots, int connections)
{
    settings_.slots = slots;
    settings_.cold_slots = cold_slots;
    settings_.connections = connections;
    ramp_.change_limits(cold_slots, slots);
}

void target_limiter::set_leaving(bool leaving)
{
    leaving_ = leaving;
}

int target_limiter::in_flight(time_point now)
{
    expire(now);
    return static_cast<int>(running_.size());
}

int target_limiter::bound(int slots, int cold_level) const
{
    if (!ramp_.warm())
        slots = std::min(slots, cold_level);
    return std::clamp(slots, 0, std::max(0, settings_.connections));
}

int target_limiter::half(const slot_share& share) const
{
    return bound(std::min(share.half, settings_.slots / 2), ramp_.level() / 2);
}

int target_limiter::limit(time_point now, const slot_share& share) const
{
    if (draining_ || leaving_)
        return 0;
    if (!share.exclusive(now))
        return std::min(half(share), share.usable);
    return bound(std::min(share.usable, settings_.slots), ramp_.level());
}

int target_limiter::free(time_point now, const slot_share& share)
{
    return std::max(0, limit(now, share) - in_flight(now));
}

std::optional<time_point> target_limiter::oldest_start() const
{
    std::optional<time_point> oldest;
    for (const auto& [number, request] : running_) {
        if (!request.abandoned && (!oldest || request.started < *oldest))
            oldest = request.started;
    }
    return oldest;
}

void target_limiter::expire(time_point now)
{
    std::erase_if(running_, [&](const auto& item) {
        const auto& request = item.second;
        return request.abandoned &&
               request.deadline + settings_.deadline_margin <= now;
    });
}

void target_limiter::note_busy()
{
    const int count = static_cast<int>(running_.size());
    for (auto& [number, request] : running_)
        request.busy = std::max(request.busy, count);
}

} // namespace vanillapost
