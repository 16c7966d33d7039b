#include "peers/greeter.hpp"

#include <algorithm>

namespace vanillapost::router {

namespace {

/// Seeds that are not among the live members are greeted again: they may lead
/// to a part of the fleet that is not known.
constexpr duration seed_interval = std::chrono::seconds(10);

} // namespace

greeter::greeter(const knowledge& known, std::vector<std::string> seeds,
                 std::uint16_t peer_port, hello_handler send_hello)
    : known_(known), seeds_(std::move(seeds)), peer_port_(peer_port),
      send_hello_(std::move(send_hello))
{
}

bool greeter::is_seed() const
{
    return std::ranges::find(seeds_, known_.members.self().query_address) !=
           seeds_.end();
}

void greeter::keep_in_touch(time_point now)
{
    announce();
    if (known_.members.live_peers(now).empty())
        greet_seeds();
    else if (now >= seeds_greeted_at_ + seed_interval)
        greet_missing_seeds(now);
}

// Members that this instance was only told of do not know it yet.
void greeter::announce()
{
    std::set<std::string> known;
    for (const auto& peer : known_.members.peers()) {
        auto process = peer.name.value + '\n' + peer.incarnation;
        if (!announced_.contains(process))
            send_hello_(io::parse_address(peer.peer_address), false);
        known.insert(std::move(process));
    }
    announced_ = std::move(known);
}

void greeter::greet_seeds()
{
    for (const auto& seed : seeds_)
        greet(seed);
}

// Ports are the same on all instances.
void greeter::greet(const std::string& seed)
{
    if (seed == known_.members.self().query_address)
        return;
    auto where = io::parse_address(seed);
    where.port = peer_port_;
    send_hello_(where, true);
}

void greeter::greet_missing_seeds(time_point now)
{
    seeds_greeted_at_ = now;
    const auto live = known_.members.live_peers(now);
    for (const auto& seed : seeds_) {
        const bool is_live = std::ranges::any_of(live, [&](const auto& each) {
            return each.who.query_address == seed;
        });
        if (!is_live)
            greet(seed);
    }
}

} // namespace vanillapost::router
