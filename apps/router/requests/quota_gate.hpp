#ifndef VANILLAPOST_APPS_ROUTER_REQUESTS_QUOTA_GATE_HPP
#define VANILLAPOST_APPS_ROUTER_REQUESTS_QUOTA_GATE_HPP

#include "reporting/router_log.hpp"
#include "reporting/router_metrics.hpp"
#include "requests/problem.hpp"
#include "requests/request_filters.hpp"
#include "vanillapost/quotas.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace vanillapost::router {

/// What becomes of a request, and of reports to other instances.
struct quota_gate_handlers
{
    std::function<void(std::unique_ptr<io::caller_exchange>, incoming_request)>
        on_admitted;
    std::function<void(io::caller_exchange&, const problem&,
                       const incoming_request&)>
        on_refused;
    std::function<void(const quota_call&)> on_report_due;
};

/// Lets through the requests of organisations that are within their quotas.
///
/// A request for which a token has to be asked waits for the reply of another
/// instance, a fraction of a second at most; a bounded number of them.
class quota_gate
{
public:
    quota_gate(io::event_loop& loop, cluster_view& cluster,
               router_metrics& metrics, router_log& log);

    void set_handlers(quota_gate_handlers handlers)
    {
        handlers_ = std::move(handlers);
    }

    /// Admits or refuses the request, now or soon.
    void handle(std::unique_ptr<io::caller_exchange> exchange,
                incoming_request request);

    /// A request of the organisation was sent to one more target.
    void charge(const std::optional<organisation_id>& organisation);

    std::optional<quota_reply> on_report(const quota_report& report);
    void on_reply(const quota_reply& reply);

    /// To be called when this instance shuts down: it grants no more.
    void leave();

    /// To be called a few times a second: takes over the configuration and the
    /// members, and tells what was refused.
    void update(bool reaches_store);

private:
    struct waiting_request
    {
        std::unique_ptr<io::caller_exchange> exchange;
        incoming_request request;
        time_point until{};
    };

    void wait(std::unique_ptr<io::caller_exchange> exchange,
              incoming_request request, duration at_most);
    void on_gone(std::uint64_t number);
    void refuse(io::caller_exchange& exchange, const incoming_request& request,
                const quota_refused& refused);
    void offer_again();
    void offer_again(std::uint64_t number);
    void send_reports();
    void run_timer();
    void update_limits(time_point now);
    void update_view(time_point now);
    void log_refusals(time_point now);
    void update_metrics(time_point now);

    io::event_loop& loop_;
    cluster_view& cluster_;
    router_metrics& metrics_;
    router_log& log_;
    quota_gate_handlers handlers_;
    quota_limiter limiter_;
    quota_membership membership_;
    std::map<std::uint64_t, waiting_request> waiting_; ///< the oldest first
    std::uint64_t next_number_ = 1;
    io::timer timer_;
    bool timer_runs_ = false;
    time_point active_until_{};
    std::uint64_t configuration_version_ = 0;
    bool leaving_ = false;
    bool reaches_store_ = false;
    time_point view_checked_{};
    time_point metrics_set_{};
    std::set<organisation_id> refused_; ///< that are being refused
};

} // namespace vanillapost::router

#endif
