#include "vanillapost/src/holds/heartbeat_watch.hpp"
#include "vanillapost/src/base/error.hpp"

namespace vanillapost {

namespace {

std::string incarnation_in(const table_row& row)
{
    if (!row.value) {
        return {};
    }
    try {
        return parse_heartbeat_row(*row.value).incarnation;
    } catch (const error&) {
        return {};
    }
}

} // namespace

void heartbeat_watch::set_watched(const std::set<entry_id>& names)
{
    watched_ = names;
    std::erase_if(seen_, [this](const auto& item) {
        return !watched_.contains(item.first);
    });
}

void heartbeat_watch::on_row(const entry_id& name, const table_row& row,
                             time_point now)
{
    if (!watched_.contains(name)) {
        return;
    }
    const revision at = row.value ? row.at : 0;
    const std::string incarnation = incarnation_in(row);
    const auto [place, added] = seen_.try_emplace(name);
    seen& known = place->second;
    if (!added && at <= known.at) {
        return;
    }
    known.renewed = !added && incarnation == known.incarnation;
    if (added || incarnation != known.incarnation) {
        known.incarnation_since = now;
    }
    known.at = at;
    known.incarnation = incarnation;
    known.changed_at = now;
}

std::optional<time_point>
heartbeat_watch::silent_since(const entry_incarnation& who) const
{
    const auto found = seen_.find(who.name);
    if (found == seen_.end()) {
        return std::nullopt;
    }
    const seen& known = found->second;
    return known.incarnation == who.incarnation ? known.changed_at
                                                : known.incarnation_since;
}

std::optional<revision>
heartbeat_watch::revision_to_check(const entry_incarnation& who) const
{
    const auto found = seen_.find(who.name);
    if (found == seen_.end()) {
        return std::nullopt;
    }
    const seen& known = found->second;
    if (known.at != 0 && known.incarnation != who.incarnation) {
        return std::nullopt;
    }
    return known.at;
}

bool heartbeat_watch::beating(const entry_incarnation& who, duration length,
                              time_point now) const
{
    const auto found = seen_.find(who.name);
    if (found == seen_.end()) {
        return false;
    }
    const seen& known = found->second;
    return known.renewed && known.incarnation == who.incarnation &&
           now - known.changed_at <= length;
}

} // namespace vanillapost
