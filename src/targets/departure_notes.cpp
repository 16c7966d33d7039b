#include "vanillapost/src/targets/departure_notes.hpp"

#include <algorithm>

namespace vanillapost {

std::int64_t departure_notes::note::newest_born() const
{
    return std::max(told_born.value_or(0), peer_born.value_or(0));
}

bool departure_notes::on_told(const target_id& id, std::int64_t born)
{
    auto& known = notes_.of(id);
    if (known.told_born && *known.told_born >= born)
        return false;
    known.told_born = born;
    return true;
}

bool departure_notes::on_peer_told(const target_id& id, std::int64_t born,
                                   time_point now)
{
    auto& known = notes_.of(id);
    if (known.told_born && *known.told_born >= born)
        return false;
    if (known.peer_born && *known.peer_born >= born)
        return false;
    known.peer_born = born;
    known.peer_until = now + peer_word_lasts;
    return true;
}

bool departure_notes::is_leaving(const target_id& id, std::int64_t born,
                                 time_point now) const
{
    const auto* known = notes_.find(id);
    if (!known)
        return false;
    const bool told = known->told_born && *known->told_born >= born;
    const bool by_peer = known->peer_born && *known->peer_born >= born &&
                         now < known->peer_until;
    return told || by_peer;
}

} // namespace vanillapost
