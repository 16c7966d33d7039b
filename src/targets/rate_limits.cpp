#include "vanillapost/src/targets/rate_limits.hpp"

#include "vanillapost/src/base/number_text.hpp"

#include <algorithm>
#include <limits>

namespace vanillapost {

namespace {

/// Size of a limit in a message without the target's id.
constexpr std::size_t bytes_besides_id = 32;

double comparable_rate(const std::optional<double>& per_second)
{
    return per_second.value_or(std::numeric_limits<double>::infinity());
}

} // namespace

rate_limit_change rate_limits::on_announced(const target_id& id,
                                            std::int64_t start_unix_ms,
                                            std::optional<double> per_second,
                                            time_point asked_at, time_point now)
{
    const auto* known = limits_.find(id);
    const bool is_later_start = !known || known->start_unix_ms < start_unix_ms;
    // The common case: most responses announce no limit, and none is known.
    if (is_later_start && !per_second)
        return rate_limit_change::none;
    if (known && known->start_unix_ms > start_unix_ms)
        return rate_limit_change::none;
    if (!is_later_start && known->per_second == per_second)
        return rate_limit_change::none;
    if (!is_later_start && !per_second && asked_at <= known->since)
        return rate_limit_change::none;
    auto& changed = limits_.get_or_create(id);
    const bool was_limited = !is_later_start && changed.per_second.has_value();
    const auto before = is_later_start ? 0 : changed.version;
    changed = {start_unix_ms, std::min(before + 1, max_exact_whole), per_second,
               now};
    if (!per_second)
        return rate_limit_change::ended;
    return was_limited ? rate_limit_change::changed : rate_limit_change::named;
}

bool rate_limits::replaces(const versioned_rate_limit& received,
                           const start_state& known)
{
    if (received.start_unix_ms != known.start_unix_ms)
        return received.start_unix_ms > known.start_unix_ms;
    if (received.version != known.version)
        return received.version > known.version;
    return comparable_rate(received.per_second) <
           comparable_rate(known.per_second);
}

bool rate_limits::merge(const versioned_rate_limit& received, time_point now)
{
    const auto* known = limits_.find(received.target);
    if (known && !replaces(received, *known))
        return false;
    limits_.get_or_create(received.target) = {
        received.start_unix_ms, received.version, received.per_second, now};
    return true;
}

std::optional<double> rate_limits::find(const target_id& id,
                                        std::int64_t start_unix_ms) const
{
    const auto* known = limits_.find(id);
    if (!known || known->start_unix_ms != start_unix_ms)
        return std::nullopt;
    return known->per_second;
}

std::optional<versioned_rate_limit>
rate_limits::find_versioned(const target_id& id) const
{
    const auto* known = limits_.find(id);
    if (!known)
        return std::nullopt;
    return versioned_rate_limit{id, known->start_unix_ms, known->version,
                                known->per_second};
}

std::vector<versioned_rate_limit> rate_limits::all() const
{
    std::vector<versioned_rate_limit> result;
    for (const auto& [id, each] : limits_.all())
        result.push_back(
            {id, each.start_unix_ms, each.version, each.per_second});
    return result;
}

std::vector<versioned_rate_limit> rate_limits::next_batch(std::size_t max_bytes,
                                                          time_point now)
{
    purge_ended(now);
    std::vector<versioned_rate_limit> result;
    const auto& limits = limits_.all();
    auto next = limits.upper_bound(last_sent_);
    std::size_t bytes = 0;
    while (result.size() < limits.size()) {
        if (next == limits.end())
            next = limits.begin();
        bytes += next->first.value.size() + bytes_besides_id;
        if (bytes > max_bytes && !result.empty())
            break;
        const auto& each = next->second;
        result.push_back(
            {next->first, each.start_unix_ms, each.version, each.per_second});
        last_sent_ = next->first;
        ++next;
    }
    return result;
}

void rate_limits::purge_ended(time_point now)
{
    std::vector<target_id> ended;
    for (const auto& [id, each] : limits_.all())
        if (!each.per_second && now >= each.since + tombstone_lifetime)
            ended.push_back(id);
    for (const auto& id : ended)
        limits_.erase(id);
}

} // namespace vanillapost
