#include "targets/prober.hpp"

#include "targets/target_message.hpp"

#include <utility>
#include <vector>

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;

/// A live target answers a probe within a few milliseconds.
constexpr duration probe_timeout = 120ms;
constexpr int status_ok = 200;
/// Probes in a row that may meet a connection that has broken.
constexpr int max_connection_checks = 3;
constexpr std::uint64_t no_waiter = 0;

} // namespace

prober::prober(io::event_loop& loop, cluster_view& cluster,
               const platform_adapter& adapter, target_connections& connections,
               target_signal_recorder& signals, router_metrics& metrics,
               router_log& log, done_handler done, refused_handler refused)
    : loop_(loop), cluster_(cluster), adapter_(adapter),
      connections_(connections), signals_(signals), metrics_(metrics),
      log_(log), done_(std::move(done)), refused_(std::move(refused))
{
}

void prober::request_probe(const target_id& target, std::uint64_t waiter)
{
    const auto running = probes_.find(target);
    if (running != probes_.end()) {
        running->second.waiters.insert(waiter);
        return;
    }
    auto& created = probes_[target];
    created.waiters.insert(waiter);
    const auto* record = cluster_.targets.find(target);
    if (!record || !may_probe(*record)) {
        created.timeout_timer = std::make_unique<io::timer>(
            loop_, [this, target] { finish_probe(target); });
        created.timeout_timer->start_once(duration::zero());
        return;
    }
    created.timeout_timer = std::make_unique<io::timer>(loop_, [this, target] {
        signals_.record_silence(target);
        fail(target, "no answer in time");
    });
    created.timeout_timer->start_once(probe_timeout);
    if (auto* target_info = cluster_.placer.find(target))
        target_info->on_probe_sent(loop_.now());
    start(*record, created);
}

void prober::check_connection(const target_id& target)
{
    request_probe(target, no_waiter);
    probes_.at(target).repeats = max_connection_checks;
}

bool prober::may_probe(const listed_target& target) const
{
    const auto* target_info = cluster_.placer.find(target.id);
    const auto now = loop_.now();
    return target_info && !target_info->is_paused(now) &&
           cluster_.targets.is_usable(target, now);
}

void prober::start(const listed_target& target, probe& created)
{
    created.start_unix_ms = target.start_unix_ms;
    created.sent_at = loop_.now();
    const auto* service = cluster_.routes().service(target.service);
    const std::string path = service ? service->health_path : "/health";
    io::target_call_request request;
    request.bytes =
        "GET " + path + " HTTP/1.1\r\nHost: " + target.address + "\r\n\r\n";
    io::target_call_handlers handlers;
    const auto id = target.id;
    handlers.on_head = [this, id, &created](io::target_answer_head&& head) {
        const auto now = loop_.now();
        cluster_.placer.on_round_trip(id, now - created.sent_at, now);
        created.head = std::move(head);
    };
    handlers.on_data = [](std::string_view) {};
    handlers.on_done = [this, id] { process_answer(id); };
    handlers.on_failure = [this, id](const io::target_failure& failure) {
        process_failure(id, failure);
    };
    try {
        created.call = connections_.pool_of(target).start(std::move(request),
                                                          std::move(handlers));
    } catch (const error& failure) {
        log_.request(io::log_level::warning, "probe_not_sent",
                     {{"target", id.value}, {"reason", failure.what()}});
        created.timeout_timer->start_once(duration::zero());
    }
}

void prober::process_answer(const target_id& target)
{
    const auto found = probes_.find(target);
    auto* target_info = cluster_.placer.find(target);
    if (target_info && !read_answer(target, found->second, *target_info)) {
        fail(target, "status " + std::to_string(found->second.head.status));
        return;
    }
    metrics_.count_probe(true);
    finish_probe(target);
}

bool prober::read_answer(const target_id& target, const probe& ended,
                         target_status& target_info)
{
    signals_.record({target, ended.start_unix_ms, true, ended.sent_at},
                    ended.head);
    const auto instance =
        io::find_header(ended.head.headers, adapter_.headers.instance_id);
    const bool is_other = instance && *instance != target.value;
    if (ended.head.status != status_ok || is_other)
        return false;
    const auto report = read_report(ended.head, adapter_);
    target_info.on_report(report.value_or(load_report{}), true, loop_.now());
    return true;
}

// A connection that was open before may have broken with the one that is to be
// checked.
void prober::process_failure(const target_id& target,
                             const io::target_failure& failure)
{
    if (failure.fault != io::answer_fault::none)
        metrics_.count_bad_answer(failure.fault);
    else
        signals_.record_silence(target);
    if (failure.refused)
        refused_(target);
    const int repeats = probes_.at(target).repeats;
    const bool is_open_question = failure.sent && !failure.refused &&
                                  failure.fault == io::answer_fault::none &&
                                  repeats > 0;
    if (!is_open_question) {
        fail(target, failure.reason);
        return;
    }
    auto waiters = std::exchange(probes_.at(target).waiters, {});
    fail(target, failure.reason);
    request_probe(target, no_waiter);
    auto& next = probes_.at(target);
    next.repeats = repeats - 1;
    next.waiters.merge(waiters);
}

void prober::fail(const target_id& target, const std::string& reason)
{
    if (auto* target_info = cluster_.placer.find(target))
        target_info->on_probe_failed(loop_.now());
    metrics_.count_probe(false);
    log_.request(io::log_level::info, "probe_failed",
                 {{"target", target.value}, {"reason", reason}});
    finish_probe(target);
}

// The call's handlers refer to the probe, so both are destroyed together.
void prober::finish_probe(const target_id& target)
{
    auto ended = probes_.extract(target);
    ended.mapped().call.reset();
    for (const auto waiter : ended.mapped().waiters)
        done_(waiter, ended.key());
}

} // namespace vanillapost::router
