#include "vanillapost/src/records/record_set.hpp"

#include "vanillapost/src/records/parse_record.hpp"

#include <algorithm>

namespace vanillapost {

namespace {

template <class Map, class Id>
auto find_in(const Map& map, const Id& name) -> decltype(&map.begin()->second)
{
    auto found = map.find(name);
    return found == map.end() ? nullptr : &found->second;
}

} // namespace

apply_result record_set::apply(const record_row& row)
{
    auto found = rows_.find(row.key);
    if (found != rows_.end() && found->second.at >= row.at)
        return apply_result::older;
    std::optional<record> parsed;
    if (row.text) {
        try {
            parsed = parse_record(*row.text, row.key);
            if (record_key(*parsed) != row.key)
                throw error("apply record", row.key,
                            "the record's kind and name do not match its key");
        } catch (const error& failure) {
            refusals_[row.key] = failure.what();
            return apply_result::refused;
        }
    }
    refusals_.erase(row.key);
    remove(row.key);
    if (parsed)
        store(*parsed);
    rows_[row.key] = row;
    latest_ = std::max(latest_, row.at);
    return apply_result::applied;
}

std::string record_set::refusal(std::string_view key) const
{
    auto found = refusals_.find(key);
    return found == refusals_.end() ? std::string() : found->second;
}

const target_record* record_set::find(const target_id& name) const
{
    return find_in(targets_, name);
}

const service_record* record_set::find(const service_id& name) const
{
    return find_in(services_, name);
}

const data_centre_record* record_set::find(const data_centre_id& name) const
{
    return find_in(data_centres_, name);
}

bool record_set::takes_work(const target_record& target) const
{
    const auto* centre = find(target.data_centre);
    return target.state == service_state::in && find(target.service) &&
           (!centre || centre->state == service_state::in);
}

void record_set::remove(std::string_view key)
{
    const auto name = std::string(key.substr(key.rfind('/') + 1));
    if (key.starts_with("records/target/"))
        targets_.erase(target_id{name});
    else if (key.starts_with("records/service/"))
        services_.erase(service_id{name});
    else if (key.starts_with("records/data_centre/"))
        data_centres_.erase(data_centre_id{name});
    else if (key.starts_with("records/route/"))
        routes_.erase(name);
}

void record_set::store(const record& value)
{
    if (const auto* target = std::get_if<target_record>(&value))
        targets_[target->name] = *target;
    else if (const auto* service = std::get_if<service_record>(&value))
        services_[service->name] = *service;
    else if (const auto* centre = std::get_if<data_centre_record>(&value))
        data_centres_[centre->name] = *centre;
    else if (const auto* rule = std::get_if<route_record>(&value))
        routes_[rule->name] = *rule;
}

} // namespace vanillapost
