#ifndef VANILLAPOST_APPS_ROUTER_TARGETS_TARGET_CONNECTIONS_HPP
#define VANILLAPOST_APPS_ROUTER_TARGETS_TARGET_CONNECTIONS_HPP

#include "adapters/platform_adapter.hpp"
#include "state/cluster_view.hpp"
#include "vanillapost/io.hpp"
#include "vanillapost/src/io/target_pool.hpp"

#include <map>

namespace vanillapost::router {

/// Creates and keeps the connection pool of each target.
class target_connections
{
public:
    target_connections(io::event_loop& loop, const cluster_view& cluster,
                       const platform_adapter& adapter);

    /// \throws error  when the target's address cannot be used
    io::target_pool& pool_of(const listed_target& target);

    /// Connections to a peer, for requests that are relayed to it.
    /// \throws error  when the peer's address cannot be used
    io::target_pool& pool_of(const member& peer);

private:
    struct entry
    {
        std::string address;
        std::unique_ptr<io::target_pool> pool;
    };

    io::target_pool& find_or_create(entry& found, const std::string& address,
                                    std::size_t max_connections);
    void sweep();
    std::size_t connection_limit(const listed_target& target) const;

    io::event_loop& loop_;
    const cluster_view& cluster_;
    const platform_adapter& adapter_;
    std::map<target_id, entry> pools_;
    std::map<entry_id, entry> peer_pools_;
    /// Pools of targets whose address has changed, until their calls end.
    std::vector<std::unique_ptr<io::target_pool>> retired_;
    io::timer sweep_timer_;
};

} // namespace vanillapost::router

#endif
