#include "vanillapost/src/measuring/probe_schedule.hpp"

#include <algorithm>

namespace vanillapost {

namespace {

constexpr int most_doublings = 16;

} // namespace

probe_schedule::probe_schedule(const probe_settings& settings)
    : settings_(settings)
{
}

void probe_schedule::hold(const target_id& target, bool alone, time_point now,
                          random_engine& random)
{
    const auto [found, added] = targets_.try_emplace(target);
    probed& probe = found->second;
    probe.alone = alone;
    if (!added) {
        probe.due = std::max(probe.due, probe.last_start + interval(probe));
        return;
    }
    // The previous holder may have probed just now. The random part keeps an
    // entry that gains many targets from probing them all at once.
    const auto spread =
        random(static_cast<std::uint32_t>(settings_.interval.count()) + 1);
    probe.due = now + 2 * settings_.interval + duration(spread);
}

void probe_schedule::release(const target_id& target)
{
    targets_.erase(target);
}

std::vector<target_id> probe_schedule::start_due(time_point now)
{
    std::vector<target_id> due;
    for (auto& [name, target] : targets_) {
        if (target.started && *target.started + settings_.timeout <= now)
            on_result(name, false, now);
        if (target.started || target.due > now)
            continue;
        target.started = now;
        target.last_start = now;
        due.push_back(name);
    }
    return due;
}

std::optional<time_point> probe_schedule::next_due() const
{
    std::optional<time_point> next;
    for (const auto& [name, target] : targets_) {
        const time_point at =
            target.started ? *target.started + settings_.timeout : target.due;
        next = next ? std::min(*next, at) : at;
    }
    return next;
}

void probe_schedule::on_result(const target_id& target, bool reachable,
                               time_point now)
{
    const auto found = targets_.find(target);
    if (found == targets_.end() || !found->second.started)
        return;
    probed& probe = found->second;
    probe.started.reset();
    probe.unreachable = reachable ? 0 : probe.unreachable + 1;
    probe.due = std::max(now, probe.last_start + interval(probe));
}

void probe_schedule::on_traffic(const target_id& target, time_point now)
{
    const auto found = targets_.find(target);
    if (found == targets_.end() || found->second.started)
        return;
    probed& probe = found->second;
    probe.unreachable = 0;
    const time_point later = now + interval(probe);
    const time_point earliest = probe.last_start + interval(probe);
    // Pushed back while work is answered, and pulled forward from a long
    // backoff by the first answer.
    probe.due = std::max(later, earliest);
}

duration probe_schedule::interval(const probed& target) const
{
    const duration base =
        target.alone ? settings_.interval : 2 * settings_.interval;
    const int doublings = std::clamp(target.unreachable, 0, most_doublings);
    return std::max(
        base, std::min(base * (1 << doublings), settings_.longest_backoff));
}

} // namespace vanillapost
