#include "state/restored_rows.hpp"

#include <algorithm>

namespace vanillapost::router {

bool restored_rows::contradicts(const io::store_row& row,
                                const io::store_row& known) const
{
    if (row.removed)
        return true;
    // The copy is the beginning of the history that is known here, so that a
    // row in it with a higher number is a later one.
    if (number_of(row.revision) > number_of(known.revision))
        return false;
    return known.removed || !rows_have_versions_;
}

std::vector<io::store_row> restored_rows::hold(std::vector<io::store_row> rows,
                                               const rows_by_key& known,
                                               time_point now)
{
    std::vector<io::store_row> at_once;
    for (auto& row : rows) {
        const auto found = known.find(row.key);
        if (found == known.end() || !contradicts(row, found->second)) {
            at_once.push_back(std::move(row));
            continue;
        }
        const auto time = found->second.removed ? expiry_time : rewrite_time;
        auto key = row.key;
        held_.insert_or_assign(std::move(key),
                               held_row{std::move(row), now + time});
    }
    return at_once;
}

void restored_rows::on_changed(std::span<const io::store_row> rows)
{
    for (const auto& row : rows)
        held_.erase(row.key);
}

std::vector<io::store_row> restored_rows::take_due(time_point now)
{
    std::vector<io::store_row> due;
    for (auto each = held_.begin(); each != held_.end();) {
        if (each->second.due > now) {
            ++each;
            continue;
        }
        due.push_back(std::move(each->second.row));
        each = held_.erase(each);
    }
    return due;
}

std::optional<time_point> restored_rows::next_due() const
{
    std::optional<time_point> result;
    for (const auto& [key, each] : held_)
        result = std::min(result.value_or(each.due), each.due);
    return result;
}

} // namespace vanillapost::router
