#include "vanillapost/src/measuring/probe_judge.hpp"

#include <utility>

namespace vanillapost {

probe_judge::probe_judge(const probe_judge_settings& settings)
    : settings_(settings)
{
}

void probe_judge::on_traffic(target_state state, time_point now)
{
    traffic_at_ = now;
    traffic_state_ = state;
    failures_ = 0;
    unreachable_ = false;
    if (state != target_state::unknown)
        draining_ = state == target_state::draining;
}

probe_verdict probe_judge::on_probe(const probe_result& result, time_point now)
{
    if (!result.reachable) {
        const bool answered_since = traffic_at_ && *traffic_at_ >= result.sent;
        if (answered_since || ++failures_ < settings_.failures_to_avoid)
            return probe_verdict::nothing;
        unreachable_ = true;
        return probe_verdict::unreachable;
    }
    failures_ = 0;
    if (contradicted(result, now))
        return probe_verdict::nothing;
    const bool was_draining =
        std::exchange(draining_, result.state == target_state::draining);
    const bool was_unreachable = std::exchange(unreachable_, false);
    switch (result.state) {
    case target_state::draining:
        return probe_verdict::draining;
    case target_state::cold:
        return was_draining ? probe_verdict::back : probe_verdict::cold;
    case target_state::warm:
    case target_state::unknown:
        break;
    }
    if (was_draining || was_unreachable)
        return probe_verdict::back;
    return probe_verdict::nothing;
}

bool probe_judge::contradicted(const probe_result& result, time_point now) const
{
    const bool fresh = traffic_at_ && now - *traffic_at_ < settings_.lag;
    return fresh && traffic_state_ != target_state::unknown &&
           traffic_state_ != result.state;
}

} // namespace vanillapost
