#include "requests/crash_guard.hpp"

#include <utility>

namespace vanillapost::router {

namespace {

/// In one message to an instance that has just started.
constexpr std::size_t max_held_reports = 8;

} // namespace

crash_guard::crash_guard(io::event_loop& loop, router_metrics& metrics,
                         router_log& log, std::uint64_t key, std::string self)
    : loop_(loop), metrics_(metrics), log_(log), self_(std::move(self)),
      suspects_(key)
{
}

void crash_guard::on_connection_refused(const target_id& target)
{
    for (const auto& report :
         suspects_.on_connection_refused(target.value, loop_.now())) {
        take(report, self_);
        if (tell_)
            tell_(report);
    }
}

void crash_guard::on_peer_report(const crash_report& report,
                                 std::string_view peer)
{
    if (suspects_.on_peer_report(report, loop_.now()))
        take(report, peer);
}

void crash_guard::take(const crash_report& report, std::string_view seen_by)
{
    const bool held = suspects_.is_held(report.request, loop_.now());
    metrics_.count_crash_report(held);
    // One end accuses everything that was in flight there.
    log_.request(held ? io::log_level::warning : io::log_level::info,
                 held ? "request_held_back" : "request_suspected",
                 {{"request", report.request},
                  {"target", report.target},
                  {"seen_by", std::string(seen_by)}});
}

crash_admission crash_guard::admit(const std::string& request)
{
    const auto admission = suspects_.admit(request, loop_.now());
    if (admission == crash_admission::trial) {
        log_.request(io::log_level::info, "request_tried_again",
                     {{"request", request}});
        if (tell_trial_)
            tell_trial_(request);
    }
    return admission;
}

// Peers are told of what was only suspected too: an end that they hear of later
// would count together with the one that this answer refutes.
void crash_guard::on_answered(const std::string& request)
{
    const bool was_held = suspects_.was_held(request);
    if (!suspects_.release(request))
        return;
    if (was_held)
        log_release(request, "a target's answer");
    if (tell_release_)
        tell_release_(request);
}

bool crash_guard::release(const std::string& request)
{
    if (!suspects_.release(request))
        return false;
    log_release(request, "an operator");
    if (tell_release_)
        tell_release_(request);
    return true;
}

void crash_guard::on_peer_trial(const std::string& request)
{
    suspects_.on_peer_trial(request, loop_.now());
}

void crash_guard::on_peer_release(const std::string& request,
                                  std::string_view peer)
{
    const bool was_held = suspects_.was_held(request);
    suspects_.release(request);
    if (was_held)
        log_release(request, peer);
}

void crash_guard::log_release(const std::string& request,
                              std::string_view told_by)
{
    log_.request(io::log_level::warning, "request_released",
                 {{"request", request}, {"told_by", std::string(told_by)}});
}

std::vector<crash_report> crash_guard::held_reports() const
{
    return suspects_.held_reports(max_held_reports, loop_.now());
}

std::vector<std::string> crash_guard::held_requests() const
{
    return suspects_.held_requests(loop_.now());
}

} // namespace vanillapost::router
