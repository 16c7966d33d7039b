#ifndef VANILLAPOST_APPS_ROUTER_PEERS_MEMBER_WATCH_HPP
#define VANILLAPOST_APPS_ROUTER_PEERS_MEMBER_WATCH_HPP

#include "reporting/router_log.hpp"
#include "reporting/router_metrics.hpp"
#include "state/knowledge.hpp"

#include <functional>
#include <nlohmann/json.hpp>

namespace vanillapost::router {

/// How a member watch reaches its peers.
struct watch_links
{
    std::function<void(const member&)> probe;
    std::function<void(const member&, const nlohmann::json&)> send;
    std::function<void(const nlohmann::json&)> send_to_all;
    /// This instance was taken for dead: tell all that it lives.
    std::function<void()> refute;
};

/// Carries out what the failure detector decides, in a fleet in which not
/// everybody hears everybody.
class member_watch
{
public:
    member_watch(io::event_loop& loop, knowledge& known,
                 router_metrics& metrics, router_log& log, random_engine random,
                 watch_links links);

    void start();

    /// A datagram came from that member itself.
    void on_heard(const entry_id& from)
    {
        detector_.on_heard(from);
    }

    static bool is_for_it(const nlohmann::json& message);

    /// Takes a doubt or a death that a peer tells.
    /// \throws error  when the message cannot be read
    void take(const nlohmann::json& message);

private:
    void advance();
    void carry_out(const std::vector<detector_action>& actions);
    void note_death(const entry_id& name);

    io::event_loop& loop_;
    knowledge& known_;
    router_metrics& metrics_;
    router_log& log_;
    watch_links links_;
    failure_detector detector_;
    io::timer timer_;
};

} // namespace vanillapost::router

#endif
