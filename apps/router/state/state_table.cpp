#include "state/state_table.hpp"

#include <algorithm>
#include <set>

namespace vanillapost::router {

namespace {

/// How long removals are kept. Instances learn of a removal within seconds; one
/// that was disconnected for longer than this gets the whole table.
constexpr duration removal_retention = std::chrono::minutes(2);

/// Whether a row is the known one, read again from a restored store.
bool is_restored_copy(const io::store_row& row, const io::store_row& known)
{
    return epoch_of(known.revision) < epoch_of(row.revision) &&
           known.removed == row.removed && known.value == row.value;
}

} // namespace

std::vector<io::store_row>
state_table::apply(const state_difference& difference, time_point now)
{
    // A row of an older whole table may have been removed since.
    if (difference.whole && difference.revision < revision())
        return {};
    std::vector<io::store_row> changed;
    for (const auto& row : difference.rows)
        if ((difference.whole || !may_be_removed(row)) && put(row, now))
            changed.push_back(row);
    if (difference.whole) {
        remove_unlisted(difference, now, changed);
        known_spans_.add({0, difference.revision});
        // A whole table holds no removals, so earlier ones are unknown.
        forgotten_upto_ = std::max(forgotten_upto_, difference.revision);
    } else {
        known_spans_.add({difference.after, difference.revision});
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
    std::vector<io::store_row> unlisted;
    for (const auto& [key, row] : rows_)
        if (!row.removed && !listed.contains(key) &&
            row.revision <= whole.revision)
            unlisted.push_back({key, "", whole.revision, true});
    for (auto& row : unlisted) {
        put(row, now);
        changed.push_back(std::move(row));
    }
}

// The removal of the row may be among the forgotten ones. An earlier removal
// that is known does not rule that out.
bool state_table::may_be_removed(const io::store_row& row) const
{
    const auto known = rows_.find(row.key);
    const bool is_present = known != rows_.end() && !known->second.removed;
    return row.revision <= forgotten_upto_ && !is_present;
}

bool state_table::put(const io::store_row& row, time_point now)
{
    const auto [stored, added] = rows_.try_emplace(row.key, row);
    bool is_new = true;
    if (!added) {
        if (stored->second.revision >= row.revision)
            return false;
        is_new = !is_restored_copy(row, stored->second);
        stored->second = row;
    }
    if (row.removed)
        removals_.push_back({row.key, row.revision, now});
    return is_new;
}

void state_table::forget_removals(time_point now)
{
    // Removals beyond a gap are kept: an older row of the same key may still
    // arrive to fill the gap.
    const auto first_kept =
        std::ranges::find_if(removals_, [&](const auto& each) {
            return now - each.at < removal_retention ||
                   each.revision > revision();
        });
    for (auto each = removals_.begin(); each != first_kept; ++each) {
        const auto row = rows_.find(each->key);
        const bool still_removed = row != rows_.end() && row->second.removed &&
                                   row->second.revision == each->revision;
        if (still_removed)
            rows_.erase(row);
        forgotten_upto_ = std::max(forgotten_upto_, each->revision);
    }
    removals_.erase(removals_.begin(), first_kept);
}

state_difference state_table::since(std::uint64_t revision) const
{
    state_difference result;
    result.after = revision;
    result.revision = this->revision();
    result.whole = revision == 0 || revision < forgotten_upto_;
    for (const auto& [key, row] : rows_) {
        const bool wanted =
            result.whole ? !row.removed : row.revision > revision;
        if (wanted)
            result.rows.push_back(row);
    }
    return result;
}

std::vector<state_difference>
state_table::changes_within(std::span<const revision_span> spans) const
{
    std::vector<state_difference> result;
    for (const auto& span : spans)
        for (const auto& part : known_spans_.known_within(
                 {std::max(span.after, forgotten_upto_), span.upto}))
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
