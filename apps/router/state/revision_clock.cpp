#include "state/revision_clock.hpp"

#include <algorithm>

namespace vanillapost::router {

void revision_clock::note(std::uint64_t revision, time_point at)
{
    const auto [entry, added] = known_at_.try_emplace(revision, at);
    if (!added)
        entry->second = std::min(entry->second, at);
    if (known_at_.size() > max_revisions)
        known_at_.erase(known_at_.begin());
}

std::optional<time_point>
revision_clock::missing_since(std::uint64_t known) const
{
    std::optional<time_point> result;
    for (auto entry = known_at_.upper_bound(known); entry != known_at_.end();
         ++entry)
        result = std::min(result.value_or(entry->second), entry->second);
    return result;
}

duration revision_clock::age(std::uint64_t revision, time_point now) const
{
    const auto entry = known_at_.lower_bound(revision);
    return entry == known_at_.end() ? duration::zero() : now - entry->second;
}

} // namespace vanillapost::router
