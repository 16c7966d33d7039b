#include "instance_registry.hpp"

namespace vanillapost::standin {

namespace {

constexpr duration turn_interval = std::chrono::milliseconds(250);

nlohmann::json to_json(const listed_instance& instance)
{
    return {{"name", instance.who.name.value},
            {"incarnation", instance.who.incarnation},
            {"data_centre", instance.data_centre.value},
            {"http_address", instance.http_address},
            {"mesh_address", instance.mesh_address},
            {"state", instance.leaving ? "leaving" : "live"}};
}

} // namespace

instance_registry::instance_registry(io::event_loop& loop, duration lag)
    : loop_(loop), lag_(lag), timer_(loop, [this] { turn(); })
{
    snapshots_.push_back({loop_.now(), nlohmann::json::array()});
    timer_.start_every(turn_interval);
}

void instance_registry::put(const listed_instance& instance)
{
    io::parse_address(instance.mesh_address);
    instances_[instance.who.name.value].instance = instance;
}

nlohmann::json instance_registry::listed() const
{
    using std::chrono::milliseconds;
    const auto& oldest = snapshots_.front();
    const auto age =
        std::chrono::duration_cast<milliseconds>(loop_.now() - oldest.taken);
    return {{"age_ms", age.count()}, {"instances", oldest.instances}};
}

nlohmann::json instance_registry::actual() const
{
    auto result = nlohmann::json::array();
    for (const auto& [name, entry] : instances_)
        result.push_back(to_json(entry.instance));
    return result;
}

void instance_registry::freeze(bool frozen)
{
    frozen_ = frozen;
}

void instance_registry::turn()
{
    for (auto& [name, entry] : instances_)
        probe(entry);
    if (frozen_)
        return;
    const auto now = loop_.now();
    snapshots_.push_back({now, actual()});
    while (snapshots_.size() > 1 && snapshots_[1].taken <= now - lag_)
        snapshots_.pop_front();
}

void instance_registry::probe(registered& entry)
{
    if (entry.probe && !entry.probe->finished())
        return;
    const auto who = entry.instance.who;
    entry.probe = std::make_unique<connect_probe>(
        loop_, io::parse_address(entry.instance.mesh_address),
        [this, who] { remove(who); });
}

void instance_registry::remove(const entry_incarnation& who)
{
    // Later, since this is called by a probe that the entry owns.
    loop_.post([this, who] {
        const auto found = instances_.find(who.name.value);
        if (found != instances_.end() && found->second.instance.who == who)
            instances_.erase(found);
    });
}

} // namespace vanillapost::standin
