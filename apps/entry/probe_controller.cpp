#include "probe_controller.hpp"

#include "attempt_judge.hpp"

#include <nlohmann/json.hpp>

namespace vanillapost::entry {

namespace {

constexpr duration probe_timeout = std::chrono::milliseconds(900);
constexpr std::size_t max_report_bytes = 4096;

} // namespace

probe_controller::probe_controller(io::event_loop& loop,
                                   target_controller& targets,
                                   entry_metrics& metrics,
                                   random_engine& random)
    : loop_(loop), targets_(targets), metrics_(metrics), random_(random)
{
}

void probe_controller::tick()
{
    follow_holds();
    for (const auto& target : schedule_.start_due(loop_.now()))
        start(target);
}

void probe_controller::follow_holds()
{
    std::map<target_id, bool> now_held;
    for (const auto& target : targets_.measured_targets())
        now_held[target] = targets_.alone(target);
    for (const auto& [target, alone] : held_) {
        if (!now_held.contains(target))
            schedule_.release(target);
    }
    for (const auto& [target, alone] : now_held) {
        const auto before = held_.find(target);
        if (before == held_.end() || before->second != alone)
            schedule_.hold(target, alone, loop_.now(), random_);
    }
    held_ = std::move(now_held);
}

void probe_controller::start(const target_id& target)
{
    metrics_.count_probe();
    const auto sent = loop_.now();
    auto& probe = running_[target];
    probe = {};
    io::call_handlers handlers;
    handlers.on_headers = [&probe](int status, auto) { probe.status = status; };
    handlers.on_data = [&probe](std::string_view data) {
        if (probe.body.size() + data.size() <= max_report_bytes)
            probe.body += data;
    };
    handlers.on_done = [this, target, sent, &probe] {
        finish(target, sent, probe.status == 200, probe.body);
    };
    handlers.on_failure = [this, target, sent](const auto&) {
        finish(target, sent, false, "");
    };
    probe.call = targets_.client(target).start(
        {.method = "GET", .target = "/load", .headers = {}, .body = {}},
        std::move(handlers), probe_timeout);
}

target_state probe_controller::take_report(const target_id& target,
                                           std::string_view body)
{
    try {
        const auto report =
            parse_bounded_json(body, max_report_bytes, "probe", target.value);
        targets_.on_load_report(target, report.at("in_flight").get<int>(),
                                report.at("slots").get<int>());
        return parse_target_state(report.value("state", ""));
    } catch (const std::exception& failure) {
        io::log(io::log_level::warning, failure.what(),
                {{"step", "probe"}, {"peer", target.value}});
        return target_state::unknown;
    }
}

void probe_controller::finish(const target_id& target, time_point sent,
                              bool reachable, std::string_view body)
{
    schedule_.on_result(target, reachable, loop_.now());
    probe_result result{.reachable = reachable, .sent = sent};
    if (reachable)
        result.state = take_report(target, body);
    targets_.on_probe(target, result);
    // The call ends only after its handler has returned.
    loop_.post([this, target, sent_call = running_[target].call.get()] {
        const auto found = running_.find(target);
        if (found != running_.end() && found->second.call.get() == sent_call)
            running_.erase(found);
    });
}

void probe_controller::on_traffic(const target_id& target)
{
    schedule_.on_traffic(target, loop_.now());
}

} // namespace vanillapost::entry
