#include "vanillapost/src/targets/departure_notes.hpp"

#include <algorithm>

namespace vanillapost {

std::int64_t departure_notes::start_state::latest_start() const
{
    return std::max(announced_start.value_or(0), relayed_start.value_or(0));
}

bool departure_notes::on_told(const target_id& id, std::int64_t born)
{
    auto& known = starts_.get_or_create(id);
    if (known.announced_start && *known.announced_start >= born)
        return false;
    known.announced_start = born;
    return true;
}

bool departure_notes::on_relayed(const target_id& id, std::int64_t born,
                                 time_point now)
{
    auto& known = starts_.get_or_create(id);
    if (known.announced_start && *known.announced_start >= born)
        return false;
    if (known.relayed_start && *known.relayed_start >= born)
        return false;
    known.relayed_start = born;
    known.relayed_until = now + peer_word_lasts;
    return true;
}

bool departure_notes::is_leaving(const target_id& id, std::int64_t born,
                                 time_point now) const
{
    const auto* known = starts_.find(id);
    if (!known)
        return false;
    const bool announced =
        known->announced_start && *known->announced_start >= born;
    const bool relayed = known->relayed_start &&
                         *known->relayed_start >= born &&
                         now < known->relayed_until;
    return announced || relayed;
}

} // namespace vanillapost
