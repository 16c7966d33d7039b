#ifndef VANILLAPOST_APPS_ROUTER_PEERS_DEPARTURE_RELAY_HPP
#define VANILLAPOST_APPS_ROUTER_PEERS_DEPARTURE_RELAY_HPP

#include "reporting/router_log.hpp"
#include "reporting/router_metrics.hpp"
#include "state/knowledge.hpp"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>

namespace vanillapost::router {

/// Passes on to peers that a target said it leaves, where its row does not say
/// so: the store is away, or the target never writes it.
///
/// A target's row reaches every instance by itself, so this waits for it, and
/// at random, so that one instance tells for all that have heard the target.
class departure_relay
{
public:
    using send_handler = std::function<void(const nlohmann::json& message)>;

    departure_relay(io::event_loop& loop, knowledge& known,
                    router_metrics& metrics, router_log& log,
                    random_engine random, send_handler send);

    /// The target said it to this instance.
    void on_told(const target_id& id, std::int64_t born);

    /// \throws error  when the message cannot be read
    void take(const nlohmann::json& message);

private:
    struct waiting
    {
        std::int64_t born = 0;
        time_point due{};
    };

    void tell_due();
    void arm(time_point now);
    bool is_needed(const target_id& id, std::int64_t born) const;

    io::event_loop& loop_;
    knowledge& known_;
    router_metrics& metrics_;
    router_log& log_;
    random_engine random_;
    send_handler send_;
    io::timer timer_;
    io::timer lapse_timer_; ///< a peer's word ends
    std::map<target_id, waiting> waiting_;
};

} // namespace vanillapost::router

#endif
