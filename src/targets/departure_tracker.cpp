#include "vanillapost/src/targets/departure_tracker.hpp"

#include <algorithm>

namespace vanillapost {

std::int64_t departure_tracker::start_state::latest_start() const
{
    return std::max(announced_start.value_or(0), relayed_start.value_or(0));
}

bool departure_tracker::on_announced(const target_id& id,
                                     std::int64_t start_unix_ms)
{
    auto& known = starts_.get_or_create(id);
    if (known.announced_start && *known.announced_start >= start_unix_ms)
        return false;
    known.announced_start = start_unix_ms;
    return true;
}

bool departure_tracker::on_relayed(const target_id& id,
                                   std::int64_t start_unix_ms, time_point now)
{
    auto& known = starts_.get_or_create(id);
    if (known.announced_start && *known.announced_start >= start_unix_ms)
        return false;
    if (known.relayed_start && *known.relayed_start >= start_unix_ms)
        return false;
    known.relayed_start = start_unix_ms;
    known.relayed_until = now + relayed_departure_lifetime;
    return true;
}

bool departure_tracker::is_leaving(const target_id& id,
                                   std::int64_t start_unix_ms,
                                   time_point now) const
{
    const auto* known = starts_.find(id);
    if (!known)
        return false;
    const bool announced =
        known->announced_start && *known->announced_start >= start_unix_ms;
    const bool relayed = known->relayed_start &&
                         *known->relayed_start >= start_unix_ms &&
                         now < known->relayed_until;
    return announced || relayed;
}

} // namespace vanillapost
