#include "vanillapost/src/holds/hold_table.hpp"
#include "vanillapost/src/base/error.hpp"

namespace vanillapost {

hold_table::hold_table(entry_incarnation self) : self_(std::move(self))
{
}

bool hold_table::apply(const table_row& row)
{
    if (!row.key.starts_with(hold_prefix)) {
        return false;
    }
    const target_id target{row.key.substr(hold_prefix.size())};
    known_hold known{.at = row.at};
    if (row.value) {
        try {
            known.row = parse_hold_row(*row.value);
        } catch (const error&) {
            known.readable = false;
        }
    }
    return store(target, std::move(known));
}

bool hold_table::apply(const target_id& target, revision at,
                       std::optional<hold_row> row)
{
    return store(target, {.at = at, .row = std::move(row)});
}

const known_hold* hold_table::find(const target_id& target) const
{
    const auto found = rows_.find(target);
    return found == rows_.end() ? nullptr : &found->second;
}

const hold_row* hold_table::row(const target_id& target) const
{
    const known_hold* known = find(target);
    return known && known->row ? &*known->row : nullptr;
}

bool hold_table::store(const target_id& target, known_hold known)
{
    const auto [place, added] = rows_.try_emplace(target);
    if (!added && place->second.at >= known.at) {
        return false;
    }
    place->second = std::move(known);
    const std::optional<hold_row>& row = place->second.row;
    if (row && (row->holder == self_ || row->successor == self_ ||
                row->previous == self_)) {
        own_.insert(target);
    } else {
        own_.erase(target);
    }
    return true;
}

} // namespace vanillapost
