#ifndef VANILLAPOST_APPS_ROUTER_TARGETS_REACH_MONITOR_HPP
#define VANILLAPOST_APPS_ROUTER_TARGETS_REACH_MONITOR_HPP

#include "state/cluster_view.hpp"
#include "targets/prober.hpp"

namespace vanillapost::router {

/// Probes targets while this instance may be partitioned from all of them: to
/// decide it soon, and then to notice the end, since no requests are sent to
/// targets meanwhile.
class reach_monitor
{
public:
    reach_monitor(io::event_loop& loop, cluster_view& cluster, prober& probes,
                  router_log& log, random_engine random);

    /// \param on_change  called when the instance turns out to be partitioned,
    ///                   or no longer
    void on_change(std::function<void(bool cut_off)> on_change)
    {
        on_change_ = std::move(on_change);
    }

private:
    void check();
    void probe_some();

    io::event_loop& loop_;
    cluster_view& cluster_;
    prober& probes_;
    router_log& log_;
    random_engine random_;
    std::function<void(bool)> on_change_;
    io::timer timer_;
};

} // namespace vanillapost::router

#endif
