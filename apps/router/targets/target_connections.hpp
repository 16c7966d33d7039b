#ifndef VANILLAPOST_APPS_ROUTER_TARGETS_TARGET_CONNECTIONS_HPP
#define VANILLAPOST_APPS_ROUTER_TARGETS_TARGET_CONNECTIONS_HPP

#include "languages/platform_language.hpp"
#include "state/knowledge.hpp"
#include "vanillapost/io.hpp"
#include "vanillapost/src/io/target_pool.hpp"

#include <map>

namespace vanillapost::router {

/// Creates and keeps the connection pool of each target.
class target_connections
{
public:
    target_connections(io::event_loop& loop, const knowledge& known,
                       const platform_language& language);

    /// \throws error  when the target's address cannot be used
    io::target_pool& pool_of(const listed_target& target);

private:
    struct entry
    {
        std::string address;
        std::unique_ptr<io::target_pool> pool;
    };

    void sweep();
    std::size_t connection_limit(const listed_target& target) const;

    io::event_loop& loop_;
    const knowledge& known_;
    const platform_language& language_;
    std::map<target_id, entry> pools_;
    /// Pools of targets whose address has changed, until their calls end.
    std::vector<std::unique_ptr<io::target_pool>> retired_;
    io::timer sweep_timer_;
};

} // namespace vanillapost::router

#endif
