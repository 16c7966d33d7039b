#ifndef VANILLAPOST_APPS_ROUTER_REQUESTS_REQUEST_ENGINE_HPP
#define VANILLAPOST_APPS_ROUTER_REQUESTS_REQUEST_ENGINE_HPP

#include "requests/request_task.hpp"
#include "router_settings.hpp"

#include <map>

namespace vanillapost::router {

/// Takes requests of callers and sees each through to its answer.
class request_engine
{
public:
    request_engine(io::event_loop& loop, knowledge& known,
                   const platform_language& language,
                   const router_settings& settings, router_metrics& metrics,
                   router_log& log, std::function<bool()> knows_newest,
                   condition_handlers on_conditions, random_engine random);

    /// Requests with a booking key are claimed there from now on.
    void set_claims(booking_claims& claims);

    void handle(std::unique_ptr<io::caller_exchange> exchange,
                io::http_request message);

    /// After the members have changed.
    void set_members(std::size_t live);

    std::size_t in_flight() const
    {
        return tasks_.size();
    }

private:
    void refuse(io::caller_exchange& exchange, const problem& why,
                const incoming_request& request);
    /// \param claim  number of the claim that it belongs to, 0 for none
    void begin(std::unique_ptr<io::caller_exchange> exchange,
               incoming_request request, std::uint64_t claim);
    std::string make_up_id();
    int waiting(const service_id& service) const;
    void on_measured(std::uint64_t waiter, const target_id& target);
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
    condition_recorder conditions_;
    prober probes_;
    service_budgets budgets_;
    route_statistics statistics_;
    request_context context_;
    booking_claims* claims_ = nullptr; ///< where the platform keeps them
    std::map<std::uint64_t, std::unique_ptr<request_task>> tasks_;
    std::map<std::uint64_t, std::uint64_t> claimed_; ///< claims of tasks
    std::uint64_t next_number_ = 1;
    std::uint64_t made_up_ids_ = 0;
    std::function<std::string()> make_up_id_ = [this] { return make_up_id(); };
};

} // namespace vanillapost::router

#endif
