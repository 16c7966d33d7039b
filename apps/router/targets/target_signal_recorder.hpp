#ifndef VANILLAPOST_APPS_ROUTER_TARGETS_TARGET_SIGNAL_RECORDER_HPP
#define VANILLAPOST_APPS_ROUTER_TARGETS_TARGET_SIGNAL_RECORDER_HPP

#include "adapters/platform_adapter.hpp"
#include "reporting/router_log.hpp"
#include "reporting/router_metrics.hpp"
#include "state/cluster_view.hpp"
#include "vanillapost/attempts.hpp"
#include "vanillapost/src/io/target_pool.hpp"

#include <functional>

namespace vanillapost::router {

/// The call to a target whose answer carries signals.
struct signal_source
{
    target_id target;
    std::int64_t start_unix_ms = 0; ///< start of the target process; Unix ms
    bool is_probe = false;
    time_point asked_at{};
};

/// Callbacks for signals that are to be passed on to peers.
struct target_signal_handlers
{
    /// A target has announced that it leaves, and this instance is the first to
    /// know.
    std::function<void(const target_id&, std::int64_t start_unix_ms)>
        on_departure;
    /// A target has named a new rate limit to this instance, or ended its
    /// limit.
    std::function<void(const target_id&, rate_limit_change)> on_rate_limit;
};

/// Records the signals that targets send in the headers of their answers: that
/// they are cold, drain, leave, ask for a pause, or limit the rate of requests.
class target_signal_recorder
{
public:
    target_signal_recorder(io::event_loop& loop, cluster_view& cluster,
                           const platform_adapter& adapter,
                           router_metrics& metrics, router_log& log,
                           target_signal_handlers handlers);

    void record(const signal_source& source,
                const io::target_answer_head& head);

    /// A target could not be connected to, or has not answered in time.
    void record_silence(const target_id& target);

private:
    bool is_from(const target_id& target, const io::target_answer_head& head,
                 const attempt_outcome& outcome) const;
    void record_departure(const target_id& target, std::int64_t start_unix_ms);
    void record_pause(const target_id& target, std::string_view header);
    void record_rate_limit(const signal_source& source,
                           const io::target_answer_head& head,
                           const attempt_outcome& outcome);
    void update_rate_limit(const signal_source& source,
                           std::optional<double> per_second);
    void log_rejected_header(std::string_view event, const target_id& target,
                             std::string_view header, std::string_view reason);

    io::event_loop& loop_;
    cluster_view& cluster_;
    const platform_adapter& adapter_;
    router_metrics& metrics_;
    router_log& log_;
    target_signal_handlers handlers_;
};

} // namespace vanillapost::router

#endif
