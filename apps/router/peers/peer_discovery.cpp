#include "peers/peer_discovery.hpp"

#include <algorithm>

namespace vanillapost::router {

namespace {

/// How often seeds that are not among the live members are contacted again:
/// they may lead to a part of the fleet that is not known here.
constexpr duration seed_interval = std::chrono::seconds(10);

} // namespace

peer_discovery::peer_discovery(const cluster_view& cluster,
                               std::vector<std::string> seeds,
                               std::uint16_t peer_port,
                               hello_handler send_hello)
    : cluster_(cluster), seeds_(std::move(seeds)), peer_port_(peer_port),
      send_hello_(std::move(send_hello))
{
}

bool peer_discovery::is_seed() const
{
    return std::ranges::find(seeds_, cluster_.members.self().query_address) !=
           seeds_.end();
}

void peer_discovery::send_due_hellos(time_point now)
{
    announce_to_new_members();
    if (cluster_.members.live_peers(now).empty())
        contact_seeds();
    else if (now >= seeds_contacted_at_ + seed_interval)
        contact_missing_seeds(now);
}

// Members that this instance knows only from other peers do not know it yet.
void peer_discovery::announce_to_new_members()
{
    std::set<std::string> known;
    for (const auto& peer : cluster_.members.peers()) {
        auto process = peer.name.value + '\n' + peer.incarnation;
        if (!announced_.contains(process))
            send_hello_(io::parse_address(peer.peer_address), false);
        known.insert(std::move(process));
    }
    announced_ = std::move(known);
}

void peer_discovery::contact_seeds()
{
    for (const auto& seed : seeds_)
        contact(seed);
}

// The peer port is the same on all instances.
void peer_discovery::contact(const std::string& seed)
{
    if (seed == cluster_.members.self().query_address)
        return;
    auto address = io::parse_address(seed);
    address.port = peer_port_;
    send_hello_(address, true);
}

void peer_discovery::contact_missing_seeds(time_point now)
{
    seeds_contacted_at_ = now;
    const auto live = cluster_.members.live_peers(now);
    for (const auto& seed : seeds_) {
        const bool is_live = std::ranges::any_of(live, [&](const auto& each) {
            return each.who.query_address == seed;
        });
        if (!is_live)
            contact(seed);
    }
}

} // namespace vanillapost::router
