#include "vanillapost/src/targets/target_catalog.hpp"

#include <algorithm>
#include <tuple>

namespace vanillapost {

target_catalog::target_catalog(const target_catalog_settings& settings)
    : settings_(settings)
{
}

namespace {

// A delayed write may replace a newer one in the list.
bool is_older(const listed_target& one, const listed_target& other)
{
    return std::tie(one.start_unix_ms, one.sequence) <
           std::tie(other.start_unix_ms, other.sequence);
}

} // namespace

bool target_catalog::put(listed_target record)
{
    auto [stored, added] = records_.try_emplace(record.id, record);
    if (!added && is_older(record, stored->second))
        return false;
    removals_.erase(record.id);
    stored->second = std::move(record);
    return true;
}

void target_catalog::remove(const target_id& id, time_point now)
{
    if (!is_relisting(now)) {
        records_.erase(id);
        removals_.erase(id);
    } else if (records_.contains(id)) {
        removals_.emplace(id, now + settings_.removal_delay);
    }
}

void target_catalog::replace(std::vector<listed_target> records, time_point now)
{
    std::set<target_id> listed;
    for (auto& record : records) {
        listed.insert(record.id);
        put(std::move(record));
    }
    std::vector<target_id> missing;
    for (const auto& [id, record] : records_)
        if (!listed.contains(id))
            missing.push_back(id);
    for (const auto& id : missing)
        remove(id, now);
}

void target_catalog::on_list_restored(time_point now)
{
    relisting_until_ = now + settings_.relist_window;
}

// Takes over the remaining time, so that the window ends for all instances at
// the same time, however often they relay it to each other.
void target_catalog::on_relisting_relayed(duration left, time_point now)
{
    const auto bounded = std::min(left, settings_.relist_window);
    relisting_until_ = std::max(relisting_until_, now + bounded);
}

duration target_catalog::relist_left(time_point now) const
{
    return std::max<duration>(relisting_until_ - now, duration::zero());
}

void target_catalog::set_evacuated(std::set<data_centre_id> data_centres)
{
    evacuated_ = std::move(data_centres);
}

bool target_catalog::on_departure_announced(const target_id& id,
                                            std::int64_t start_unix_ms)
{
    return departures_.on_announced(id, start_unix_ms);
}

bool target_catalog::on_departure_relayed(const target_id& id,
                                          std::int64_t start_unix_ms,
                                          time_point now)
{
    return departures_.on_relayed(id, start_unix_ms, now);
}

bool target_catalog::on_rate_limit_relayed(const versioned_rate_limit& received,
                                           time_point now)
{
    const auto* record = find(received.target);
    return record && record->start_unix_ms == received.start_unix_ms &&
           limits_.merge(received, now);
}

bool target_catalog::advance(time_point now)
{
    bool removed = false;
    for (auto each = removals_.begin(); each != removals_.end();) {
        if (each->second > now) {
            ++each;
            continue;
        }
        records_.erase(each->first);
        each = removals_.erase(each);
        removed = true;
    }
    return removed;
}

std::optional<time_point> target_catalog::next_removal() const
{
    if (removals_.empty())
        return std::nullopt;
    return std::ranges::min_element(
               removals_, {}, [](const auto& each) { return each.second; })
        ->second;
}

const listed_target* target_catalog::find(const target_id& id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

bool target_catalog::is_usable(const listed_target& record,
                               time_point now) const
{
    return !record.draining && !evacuated_.contains(record.data_centre) &&
           !departures_.is_leaving(record.id, record.start_unix_ms, now);
}

} // namespace vanillapost
