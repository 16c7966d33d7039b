#include "vanillapost/src/targets/departure_notes.hpp"

#include <algorithm>

namespace vanillapost {

std::int64_t departure_notes::note::newest_born() const
{
    return std::max(told_born.value_or(0), peer_born.value_or(0));
}

bool departure_notes::on_told(const target_id& id, std::int64_t born)
{
    auto& known = note_of(id);
    if (known.told_born && *known.told_born >= born)
        return false;
    known.told_born = born;
    return true;
}

bool departure_notes::on_peer_told(const target_id& id, std::int64_t born,
                                   time_point now)
{
    auto& known = note_of(id);
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
    const auto found = notes_.find(id);
    if (found == notes_.end())
        return false;
    const auto& known = found->second;
    const bool told = known.told_born && *known.told_born >= born;
    const bool by_peer =
        known.peer_born && *known.peer_born >= born && now < known.peer_until;
    return told || by_peer;
}

departure_notes::note& departure_notes::note_of(const target_id& id)
{
    const auto [found, added] = notes_.try_emplace(id);
    if (added && notes_.size() > max_notes)
        forget_earliest(id);
    return found->second;
}

void departure_notes::forget_earliest(const target_id& kept)
{
    auto earliest = notes_.end();
    for (auto each = notes_.begin(); each != notes_.end(); ++each) {
        if (each->first == kept)
            continue;
        if (earliest == notes_.end() ||
            each->second.newest_born() < earliest->second.newest_born())
            earliest = each;
    }
    notes_.erase(earliest);
}

} // namespace vanillapost
