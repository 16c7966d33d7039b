#ifndef VANILLAPOST_APPS_ROUTER_ROLLOUTS_ROLLOUT_CONTROLLER_HPP
#define VANILLAPOST_APPS_ROUTER_ROLLOUTS_ROLLOUT_CONTROLLER_HPP

#include "peers/rollout_relay.hpp"
#include "reporting/router_log.hpp"
#include "reporting/router_metrics.hpp"
#include "rollouts/rollout_decider.hpp"
#include "rollouts/service_rollout.hpp"
#include "state/state_controller.hpp"

#include <map>
#include <set>

namespace vanillapost::router {

/// Runs the roll-outs that operators have ordered. Without an order it sends
/// and reads nothing.
///
/// Every instance reports what it sees to those that follow the store. The
/// first of these decides and tells all instances what to do.
///
/// \note Memory is bounded by the number of roll-outs at a time, and for each
/// by `max_evidence_reporters`.
class rollout_controller
{
public:
    rollout_controller(io::event_loop& loop, io::row_store& store,
                       const platform_adapter& adapter, cluster_view& cluster,
                       const state_controller& state, rollout_relay& relay,
                       router_metrics& metrics, router_log& log,
                       const rollout_limits& limits, random_engine random);

    /// Takes over all orders that stand in the store.
    void set_orders(const std::map<service_id, rollout_order>& orders);

    /// The roll-out of a service; null if none is ordered.
    service_rollout* find(const service_id& service);

private:
    struct running
    {
        service_rollout rollout;
        /// Set while this instance decides.
        std::unique_ptr<rollout_decider> decider = {};
        bool stop_logged = false;
        time_point changed_at = {};
        time_point told_at = {};               ///< all peers, by this instance
        std::set<entry_incarnation> told = {}; ///< of the final state
    };

    void start(const rollout_order& order);
    void run_periodic_tasks();
    void run(running& each, time_point now);
    bool is_decider(time_point now) const;
    void decide(running& each, time_point now);
    void follow(running& each, const rollout_directive& directive,
                std::string_view from, time_point now);
    void tell_peers(running& each, const rollout_directive& directive,
                    time_point now);
    void report(running& each, time_point now);
    void log_directive(running& each, std::string_view from);
    void log_stop(running& each);
    void on_directive(const service_id& service,
                      const rollout_directive& directive);
    void on_report(const evidence_report& report);

    io::event_loop& loop_;
    io::row_store& store_;
    const platform_adapter& adapter_;
    cluster_view& cluster_;
    const state_controller& state_;
    rollout_relay& relay_;
    router_metrics& metrics_;
    router_log& log_;
    rollout_limits limits_;
    random_engine random_;
    std::map<service_id, running> running_;
    io::timer timer_;
};

} // namespace vanillapost::router

#endif
