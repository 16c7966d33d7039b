#ifndef VANILLAPOST_APPS_ROUTER_PEERS_PEER_DISCOVERY_HPP
#define VANILLAPOST_APPS_ROUTER_PEERS_PEER_DISCOVERY_HPP

#include "state/cluster_view.hpp"
#include "vanillapost/src/io/address.hpp"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace vanillapost::router {

/// Makes this instance and its peers known to each other.
///
/// It sends hello messages to the seeds, a configured list of peers, and to the
/// members that it learns of from peers.
class peer_discovery
{
public:
    /// \param reply_wanted  the receiver has to introduce itself in return
    using hello_handler =
        std::function<void(const io::address&, bool reply_wanted)>;

    /// \param seeds      query addresses of some peers, which may be stale
    /// \param peer_port  port for datagrams, the same on all instances
    peer_discovery(const cluster_view& cluster, std::vector<std::string> seeds,
                   std::uint16_t peer_port, hello_handler send_hello);

    /// Whether the list of seeds contains this instance.
    bool is_seed() const;

    void contact_seeds();

    /// Sends hellos to members that do not know this instance yet and to seeds
    /// that are not among the live members. To be called with every heartbeat.
    void send_due_hellos(time_point now);

private:
    void announce_to_new_members();
    void contact(const std::string& seed);
    void contact_missing_seeds(time_point now);

    const cluster_view& cluster_;
    std::vector<std::string> seeds_;
    std::uint16_t peer_port_;
    hello_handler send_hello_;
    std::set<std::string> announced_; ///< member processes that got a hello
    time_point seeds_contacted_at_{};
};

} // namespace vanillapost::router

#endif
