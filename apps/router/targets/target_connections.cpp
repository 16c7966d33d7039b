#include "targets/target_connections.hpp"

#include <algorithm>

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;

constexpr duration sweep_interval = 500ms;
constexpr std::size_t min_pool_connections = 4;
constexpr std::size_t max_pool_connections = 64;
/// Number of instances to allow for per known instance: spares may join, and
/// connections of an instance that has just died may still be open.
constexpr double growth_reserve = 2;

} // namespace

target_connections::target_connections(io::event_loop& loop,
                                       const cluster_view& cluster,
                                       const platform_adapter& adapter)
    : loop_(loop), cluster_(cluster), adapter_(adapter),
      sweep_timer_(loop, [this] { sweep(); })
{
    sweep_timer_.start_every(sweep_interval);
}

io::target_pool& target_connections::pool_of(const listed_target& target)
{
    return find_or_create(pools_[target.id], target.address,
                          connection_limit(target));
}

io::target_pool& target_connections::pool_of(const member& peer)
{
    return find_or_create(peer_pools_[peer.name], peer.caller_address,
                          max_pool_connections);
}

io::target_pool& target_connections::find_or_create(entry& found,
                                                    const std::string& address,
                                                    std::size_t max_connections)
{
    if (found.pool && found.address == address)
        return *found.pool;
    if (found.pool)
        retired_.push_back(std::move(found.pool));
    io::target_pool_settings settings;
    settings.id_header = adapter_.headers.attempt_id;
    settings.max_connections = max_connections;
    found.address = address;
    found.pool = std::make_unique<io::target_pool>(
        loop_, io::parse_address(address), std::move(settings));
    return *found.pool;
}

// Divides the target's limit among the instances: the target resets connections
// beyond its limit, counted over all callers.
std::size_t
target_connections::connection_limit(const listed_target& target) const
{
    const auto* service = cluster_.routes().service(target.service);
    if (!service || service->max_connections <= 0)
        return max_pool_connections;
    const auto members =
        static_cast<double>(cluster_.members.peers().size() + 1);
    const auto share = static_cast<std::size_t>(service->max_connections /
                                                (members * growth_reserve));
    return std::clamp(share, min_pool_connections, max_pool_connections);
}

void target_connections::sweep()
{
    const auto now = loop_.now();
    for (auto& pool : retired_)
        pool->sweep(now);
    std::erase_if(retired_, [](const auto& pool) {
        return pool->open_connections() == 0;
    });
    for (auto each = peer_pools_.begin(); each != peer_pools_.end();) {
        each->second.pool->sweep(now);
        const bool unused = each->second.pool->open_connections() == 0;
        each = unused ? peer_pools_.erase(each) : std::next(each);
    }
    for (auto each = pools_.begin(); each != pools_.end();) {
        each->second.pool->sweep(now);
        const bool listed = cluster_.targets.find(each->first) != nullptr;
        const bool unused = each->second.pool->open_connections() == 0;
        each = !listed && unused ? pools_.erase(each) : std::next(each);
    }
}

} // namespace vanillapost::router
