#ifndef VANILLAPOST_APPS_ROUTER_REQUESTS_REQUEST_ENGINE_HPP
#define VANILLAPOST_APPS_ROUTER_REQUESTS_REQUEST_ENGINE_HPP

#include "requests/request_task.hpp"
#include "router_settings.hpp"

#include <map>

namespace vanillapost::router {

/// Receives callers' requests and runs a \ref request_task for each until it is
/// answered.
class request_engine
{
public:
    request_engine(io::event_loop& loop, knowledge& known,
                   const platform_language& language,
                   const router_settings& settings, router_metrics& metrics,
                   router_log& log, std::function<bool()> knows_newest,
                   target_signal_handlers on_signals, random_engine random);

    /// From now on, requests with an idempotency key are claimed by `claims`
    /// before they are dispatched.
    void set_claims(booking_claims& claims);

    void handle(std::unique_ptr<io::caller_exchange> exchange,
                io::http_request message);

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
    /// \param claim  number of the request's claim, 0 if it has none
    void begin(std::unique_ptr<io::caller_exchange> exchange,
               incoming_request request, std::uint64_t claim);
    std::string generate_request_id();
    int waiting(const service_id& service) const;
    void on_probe_done(std::uint64_t waiter, const target_id& target);
    void on_slot_freed(const service_id& service);
    void on_ended(request_task& task);

    io::event_loop& loop_;
    knowledge& known_;
    const platform_language& language_;
    router_metrics& metrics_;
    router_log& log_;
    std::function<bool()> knows_newest_;
    random_engine random_;
    target_connections connections_;
    target_signal_recorder signals_;
    prober probes_;
    service_budgets budgets_;
    route_statistics statistics_;
    request_context context_;
    booking_claims* claims_ = nullptr; ///< null if the platform has no table
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
