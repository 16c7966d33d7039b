#include "vanillapost/src/targets/rate_limits.hpp"

#include "vanillapost/src/base/number_text.hpp"

#include <algorithm>
#include <limits>

namespace vanillapost {

namespace {

/// Of a note in a message, beside the target's id.
constexpr std::size_t bytes_beside_id = 32;

double order_of(const std::optional<double>& per_second)
{
    return per_second.value_or(std::numeric_limits<double>::infinity());
}

} // namespace

rate_limit_news rate_limits::on_told(const target_id& id, std::int64_t born,
                                     std::optional<double> per_second,
                                     time_point asked_at, time_point now)
{
    const auto* known = notes_.find(id);
    const bool is_later_start = !known || known->born < born;
    // Nearly all answers name none, and nothing is known of their targets.
    if (is_later_start && !per_second)
        return rate_limit_news::none;
    if (known && known->born > born)
        return rate_limit_news::none;
    if (!is_later_start && known->per_second == per_second)
        return rate_limit_news::none;
    if (!is_later_start && !per_second && asked_at <= known->since)
        return rate_limit_news::none;
    auto& changed = notes_.of(id);
    const bool was_limited = !is_later_start && changed.per_second.has_value();
    const auto before = is_later_start ? 0 : changed.version;
    changed = {born, std::min(before + 1, max_exact_whole), per_second, now};
    if (!per_second)
        return rate_limit_news::ended;
    return was_limited ? rate_limit_news::changed : rate_limit_news::named;
}

bool rate_limits::replaces(const rate_limit_note& told, const note& known)
{
    if (told.born != known.born)
        return told.born > known.born;
    if (told.version != known.version)
        return told.version > known.version;
    return order_of(told.per_second) < order_of(known.per_second);
}

bool rate_limits::merge(const rate_limit_note& told, time_point now)
{
    const auto* known = notes_.find(told.target);
    if (known && !replaces(told, *known))
        return false;
    notes_.of(told.target) = {told.born, told.version, told.per_second, now};
    return true;
}

std::optional<double> rate_limits::find(const target_id& id,
                                        std::int64_t born) const
{
    const auto* known = notes_.find(id);
    if (!known || known->born != born)
        return std::nullopt;
    return known->per_second;
}

std::optional<rate_limit_note> rate_limits::note_of(const target_id& id) const
{
    const auto* known = notes_.find(id);
    if (!known)
        return std::nullopt;
    return rate_limit_note{id, known->born, known->version, known->per_second};
}

std::vector<rate_limit_note> rate_limits::all() const
{
    std::vector<rate_limit_note> result;
    for (const auto& [id, each] : notes_.all())
        result.push_back({id, each.born, each.version, each.per_second});
    return result;
}

std::vector<rate_limit_note> rate_limits::next_to_tell(std::size_t max_bytes,
                                                       time_point now)
{
    forget_ended(now);
    std::vector<rate_limit_note> result;
    const auto& notes = notes_.all();
    auto next = notes.upper_bound(told_last_);
    std::size_t bytes = 0;
    while (result.size() < notes.size()) {
        if (next == notes.end())
            next = notes.begin();
        bytes += next->first.value.size() + bytes_beside_id;
        if (bytes > max_bytes && !result.empty())
            break;
        const auto& each = next->second;
        result.push_back(
            {next->first, each.born, each.version, each.per_second});
        told_last_ = next->first;
        ++next;
    }
    return result;
}

void rate_limits::forget_ended(time_point now)
{
    std::vector<target_id> over;
    for (const auto& [id, each] : notes_.all())
        if (!each.per_second && now >= each.since + end_is_told)
            over.push_back(id);
    for (const auto& id : over)
        notes_.erase(id);
}

} // namespace vanillapost
