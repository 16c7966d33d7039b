#ifndef VANILLAPOST_APPS_ROUTER_PEERS_GREETER_HPP
#define VANILLAPOST_APPS_ROUTER_PEERS_GREETER_HPP

#include "state/knowledge.hpp"
#include "vanillapost/src/io/address.hpp"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace vanillapost::router {

/// Has this instance and others know each other: by seeds, and by those that
/// they tell it of.
class greeter
{
public:
    /// \param ask  the other is to say who it is, too
    using hello_handler = std::function<void(const io::address&, bool ask)>;

    /// \param seeds      query addresses of some peers, which may be stale
    /// \param peer_port  of all instances
    greeter(const knowledge& known, std::vector<std::string> seeds,
            std::uint16_t peer_port, hello_handler send_hello);

    /// Whether others have this instance as a seed.
    bool is_seed() const;

    void greet_seeds();

    /// Greets members that do not know this instance yet, and seeds.
    void keep_in_touch(time_point now);

private:
    void announce();
    void greet(const std::string& seed);
    void greet_missing_seeds(time_point now);

    const knowledge& known_;
    std::vector<std::string> seeds_;
    std::uint16_t peer_port_;
    hello_handler send_hello_;
    std::set<std::string> announced_; ///< processes that know this one
    time_point seeds_greeted_at_{};
};

} // namespace vanillapost::router

#endif
