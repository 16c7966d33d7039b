#ifndef VANILLAPOST_STANDINS_PLATFORM_INSTANCE_REGISTRY_HPP
#define VANILLAPOST_STANDINS_PLATFORM_INSTANCE_REGISTRY_HPP

#include "../common/task_queue.hpp"
#include "connect_probe.hpp"

#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vanillapost/io.hpp>

namespace vanillapost::standin {

/// The lagging list of instances.
///
/// An instance leaves it when a connection to its mesh address is refused:
/// only then has its process ended.
class instance_registry
{
public:
    instance_registry(io::event_loop& loop, duration lag);

    /// Registers an instance or updates its entry.
    /// \throws error  when the mesh address is no address
    void put(const listed_instance& instance);

    /// The list as callers get it, lagging.
    nlohmann::json listed() const;

    /// The list without its lag.
    nlohmann::json actual() const;

    /// While frozen the list only grows older.
    void freeze(bool frozen);

private:
    struct snapshot
    {
        time_point taken{};
        nlohmann::json instances = nlohmann::json::array();
    };

    struct registered
    {
        listed_instance instance;
        std::unique_ptr<connect_probe> probe;
    };

    void turn();
    void probe(registered& entry);
    void remove(const entry_incarnation& who);

    io::event_loop& loop_;
    duration lag_;
    io::timer timer_;
    std::map<std::string, registered> instances_;
    std::deque<snapshot> snapshots_;
    bool frozen_ = false;
};

} // namespace vanillapost::standin

#endif
