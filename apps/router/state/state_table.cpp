#include "state/state_table.hpp"

#include <algorithm>
#include <set>

namespace vanillapost::router {

namespace {

/// Instances learn of removals within seconds; one that was away for longer
/// gets the whole table.
constexpr duration removal_memory = std::chrono::minutes(2);

} // namespace

std::vector<io::store_row>
state_table::apply(const state_difference& difference, time_point now)
{
    // What an older whole table names may have been removed since.
    if (difference.whole && difference.revision < revision())
        return {};
    std::vector<io::store_row> changed;
    for (const auto& row : difference.rows)
        if ((difference.whole || !may_be_removed(row)) && put(row, now))
            changed.push_back(row);
    if (difference.whole) {
        remove_unlisted(difference, now, changed);
        known_.add({0, difference.revision});
        // It does not tell of rows that came and went before.
        forgotten_ = std::max(forgotten_, difference.revision);
    } else {
        known_.add({difference.after, difference.revision});
    }
    forget_removals(now);
    return changed;
}

void state_table::remove_unlisted(const state_difference& whole, time_point now,
                                  std::vector<io::store_row>& changed)
{
    std::set<std::string_view> listed;
    for (const auto& row : whole.rows)
        listed.insert(row.key);
    std::vector<io::store_row> gone;
    for (const auto& [key, row] : rows_)
        if (!row.removed && !listed.contains(key) &&
            row.revision <= whole.revision)
            gone.push_back({key, "", whole.revision, true});
    for (auto& row : gone) {
        put(row, now);
        changed.push_back(std::move(row));
    }
}

// Its removal may be what was forgotten.
bool state_table::may_be_removed(const io::store_row& row) const
{
    return row.revision <= forgotten_ && !rows_.contains(row.key);
}

bool state_table::put(const io::store_row& row, time_point now)
{
    const auto [stored, added] = rows_.try_emplace(row.key, row);
    if (!added) {
        if (stored->second.revision >= row.revision)
            return false;
        stored->second = row;
    }
    if (row.removed)
        removals_.push_back({row.key, row.revision, now});
    return true;
}

void state_table::forget_removals(time_point now)
{
    // Beyond a gap they are kept: an older row may still come to fill it.
    const auto old = std::ranges::find_if(removals_, [&](const auto& each) {
        return now - each.at < removal_memory || each.revision > revision();
    });
    for (auto each = removals_.begin(); each != old; ++each) {
        const auto row = rows_.find(each->key);
        const bool still_removed = row != rows_.end() && row->second.removed &&
                                   row->second.revision == each->revision;
        if (still_removed)
            rows_.erase(row);
        forgotten_ = std::max(forgotten_, each->revision);
    }
    removals_.erase(removals_.begin(), old);
}

state_difference state_table::since(std::uint64_t revision) const
{
    state_difference result;
    result.after = revision;
    result.revision = this->revision();
    result.whole = revision == 0 || revision < forgotten_;
    for (const auto& [key, row] : rows_) {
        const bool wanted =
            result.whole ? !row.removed : row.revision > revision;
        if (wanted)
            result.rows.push_back(row);
    }
    return result;
}

std::vector<state_difference>
state_table::within(std::span<const revision_span> spans) const
{
    std::vector<state_difference> result;
    for (const auto& span : spans)
        for (const auto& part :
             known_.known_within({std::max(span.after, forgotten_), span.upto}))
            result.push_back({part.after, part.upto, false, false, {}});
    for (const auto& [key, row] : rows_) {
        const auto part = std::ranges::lower_bound(result, row.revision, {},
                                                   &state_difference::revision);
        if (part != result.end() && part->after < row.revision)
            part->rows.push_back(row);
    }
    return result;
}

} // namespace vanillapost::router
