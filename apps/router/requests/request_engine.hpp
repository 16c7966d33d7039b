#ifndef VANILLAPOST_APPS_ROUTER_REQUESTS_REQUEST_ENGINE_HPP
#define VANILLAPOST_APPS_ROUTER_REQUESTS_REQUEST_ENGINE_HPP

#include "requests/crash_guard.hpp"
#include "requests/quota_gate.hpp"
#include "requests/request_task.hpp"
#include "router_settings.hpp"
#include "targets/reach_monitor.hpp"

#include <map>

namespace vanillapost::router {

/// Receives callers' requests and runs a \ref request_task for each until it is
/// answered.
class request_engine
{
public:
    request_engine(io::event_loop& loop, cluster_view& cluster,
                   const platform_adapter& adapter,
                   const router_settings& settings, router_metrics& metrics,
                   router_log& log, rollout_controller& rollouts,
                   std::function<bool()> has_newest_configuration,
                   target_signal_handlers on_signals, random_engine random);

    /// From now on, requests with an idempotency key are claimed by `claims`
    /// before they are dispatched.
    void set_claims(idempotency_claims& claims);

    void handle(std::unique_ptr<io::caller_exchange> exchange,
                io::http_request message);

    crash_guard& crashes()
    {
        return crashes_;
    }

    /// Messages about quotas go in here.
    quota_gate& quotas()
    {
        return quotas_;
    }

    /// \param handler  called with what is to be asked of another instance
    void on_quota_report(std::function<void(const quota_call&)> handler);

    /// To be called when this instance is told to stop: what it cannot answer
    /// in time is refused, and every request gets its final answer by the
    /// plan's end.
    void leave(const shutdown_plan& plan);

    /// \param handler  called when this instance turns out to be partitioned
    /// from
    ///                 all targets, or no longer
    void on_reach_changed(std::function<void(bool cut_off)> handler)
    {
        reach_.on_change(std::move(handler));
    }

    /// To be called when the number of live instances may have changed.
    /// \param live  live instances, this one included
    void set_members(std::size_t live);

    std::size_t in_flight() const
    {
        return tasks_.size();
    }

private:
    void refuse(io::caller_exchange& exchange, const problem& why,
                const incoming_request& request);
    /// Refuses it without a random change of the time to come back.
    void refuse_exactly(io::caller_exchange& exchange, const problem& why,
                        const incoming_request& request);
    void dispatch(std::unique_ptr<io::caller_exchange> exchange,
                  incoming_request request);
    /// \param claim  number of the request's claim, 0 if it has none
    void begin(std::unique_ptr<io::caller_exchange> exchange,
               incoming_request request, std::uint64_t claim);
    std::string generate_request_id();
    int waiting(const service_id& service) const;
    void on_probe_done(std::uint64_t waiter, const target_id& target);
    void on_slot_freed(const service_id& service);
    void on_ended(request_task& task);

    io::event_loop& loop_;
    cluster_view& cluster_;
    const platform_adapter& adapter_;
    router_metrics& metrics_;
    router_log& log_;
    std::function<bool()> has_newest_configuration_;
    random_engine random_;
    target_connections connections_;
    target_signal_recorder signals_;
    prober probes_;
    reach_monitor reach_;
    service_budgets budgets_;
    route_statistics statistics_;
    crash_guard crashes_;
    quota_gate quotas_;
    request_context context_;
    /// Null if the platform has no table.
    idempotency_claims* claims_ = nullptr;
    std::map<std::uint64_t, std::unique_ptr<request_task>> tasks_;
    /// Claim number of each claimed task, by the number of the task.
    std::map<std::uint64_t, std::uint64_t> claim_numbers_;
    std::uint64_t next_number_ = 1;
    std::uint64_t generated_ids_ = 0;
    std::function<std::string()> generate_request_id_ = [this] {
        return generate_request_id();
    };
};

} // namespace vanillapost::router

#endif
