#ifndef VANILLAPOST_APPS_ROUTER_REQUESTS_REQUEST_CONTEXT_HPP
#define VANILLAPOST_APPS_ROUTER_REQUESTS_REQUEST_CONTEXT_HPP

#include "adapters/platform_adapter.hpp"
#include "reporting/router_log.hpp"
#include "reporting/router_metrics.hpp"
#include "requests/crash_guard.hpp"
#include "requests/idempotency_claims.hpp"
#include "requests/route_statistics.hpp"
#include "requests/service_budgets.hpp"
#include "rollouts/rollout_controller.hpp"
#include "state/cluster_view.hpp"
#include "targets/prober.hpp"
#include "targets/target_connections.hpp"
#include "targets/target_signal_recorder.hpp"
#include "vanillapost/attempts.hpp"

#include <optional>

namespace vanillapost::router {

class request_task;

/// The parts of the router that all requests share.
struct request_context
{
    io::event_loop& loop;
    cluster_view& cluster;
    const platform_adapter& adapter;
    router_metrics& metrics;
    router_log& log;
    target_connections& connections;
    target_signal_recorder& signals;
    prober& probes;
    service_budgets& budgets;
    route_statistics& statistics;
    random_engine& random;
    std::function<void(request_task&)> ended;
    /// To be called when a slot of the service may have become free.
    std::function<void(const service_id&)> slot_freed;
    /// Returns how many requests of the service wait for a slot.
    std::function<int(const service_id&)> waiting;
    /// Requests under which targets have ended.
    crash_guard& crashes;
    /// To be called when a target refuses connections.
    std::function<void(const target_id&)> connection_refused;
    rollout_controller& rollouts;
    /// To be called when an admitted request is sent to one more target.
    std::function<void(const std::optional<organisation_id>&)> charge_quota;
    /// Set once this instance has been told to stop.
    std::optional<shutdown_plan> shutdown;
};

} // namespace vanillapost::router

#endif
