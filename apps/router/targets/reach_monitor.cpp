#include "targets/reach_monitor.hpp"

#include <algorithm>
#include <iterator>

namespace vanillapost::router {

namespace {

constexpr duration check_interval = std::chrono::milliseconds(200);
/// Targets that are probed at each check. Where targets are slow rather than
/// out of reach, more probes would add to their load.
constexpr std::size_t probes_at_once = 1;
/// No request waits for these probes.
constexpr std::uint64_t no_waiter = 0;

} // namespace

reach_monitor::reach_monitor(io::event_loop& loop, cluster_view& cluster,
                             prober& probes, router_log& log,
                             random_engine random)
    : loop_(loop), cluster_(cluster), probes_(probes), log_(log),
      random_(random), timer_(loop, [this] { check(); })
{
    timer_.start_every(check_interval);
}

void reach_monitor::check()
{
    if (cluster_.update_reach(loop_.now())) {
        const bool cut_off = cluster_.is_cut_off();
        log_.state(io::log_level::warning,
                   cut_off ? "targets_unreachable" : "targets_reachable",
                   {{"targets", std::to_string(cluster_.targets.all().size())},
                    {"peers_that_reach_some",
                     std::to_string(
                         cluster_.members.ready_peers(loop_.now()).size())}});
        on_change_(cut_off);
    }
    if (cluster_.reach.is_suspected())
        probe_some();
}

void reach_monitor::probe_some()
{
    std::vector<target_id> listed;
    for (const auto& [id, record] : cluster_.targets.all())
        listed.push_back(id);
    std::vector<target_id> chosen;
    std::ranges::sample(listed, std::back_inserter(chosen), probes_at_once,
                        random_);
    for (const auto& each : chosen)
        probes_.request_probe(each, no_waiter);
}

} // namespace vanillapost::router
