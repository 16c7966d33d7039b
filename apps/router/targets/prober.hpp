#ifndef VANILLAPOST_APPS_ROUTER_TARGETS_PROBER_HPP
#define VANILLAPOST_APPS_ROUTER_TARGETS_PROBER_HPP

#include "adapters/platform_adapter.hpp"
#include "reporting/router_log.hpp"
#include "reporting/router_metrics.hpp"
#include "state/cluster_view.hpp"
#include "targets/target_connections.hpp"
#include "targets/target_signal_recorder.hpp"

#include <cstdint>
#include <map>
#include <set>

namespace vanillapost::router {

/// Asks targets for their load. Requests that need a probe of the same target
/// at the same time share one.
///
/// The connection on which a probe was answered is the next to be used, so the
/// request that follows does not get a connection that broke unnoticed.
class prober
{
public:
    using done_handler =
        std::function<void(std::uint64_t waiter, const target_id&)>;
    using refused_handler = std::function<void(const target_id&)>;

    prober(io::event_loop& loop, cluster_view& cluster,
           const platform_adapter& adapter, target_connections& connections,
           target_signal_recorder& signals, router_metrics& metrics,
           router_log& log, done_handler done, refused_handler refused);

    /// Probes a target and calls the handler with `waiter` when the probe has
    /// ended, never before this function returns. A target that leaves or has
    /// asked for a pause is not probed; the handler is called all the same.
    void request_probe(const target_id& target, std::uint64_t waiter);

    /// Probes a target to which a connection has just broken, on a connection
    /// that cannot have broken with it: only that shows whether it has ended.
    void check_connection(const target_id& target);

private:
    struct probe
    {
        std::int64_t start_unix_ms =
            0; ///< start of the target process; Unix ms
        time_point sent_at{};
        std::unique_ptr<io::target_call> call;
        std::unique_ptr<io::timer> timeout_timer;
        std::set<std::uint64_t> waiters;
        /// Probes that follow if this one's connection breaks.
        int repeats = 0;
        io::target_answer_head head;
    };

    bool may_probe(const listed_target& target) const;
    void start(const listed_target& target, probe& created);
    void process_answer(const target_id& target);
    bool read_answer(const target_id& target, const probe& ended,
                     target_status& target_info);
    void process_failure(const target_id& target,
                         const io::target_failure& failure);
    void fail(const target_id& target, const std::string& reason);
    void finish_probe(const target_id& target);

    io::event_loop& loop_;
    cluster_view& cluster_;
    const platform_adapter& adapter_;
    target_connections& connections_;
    target_signal_recorder& signals_;
    router_metrics& metrics_;
    router_log& log_;
    done_handler done_;
    refused_handler refused_; ///< the target refuses connections
    std::map<target_id, probe> probes_;
};

} // namespace vanillapost::router

#endif
