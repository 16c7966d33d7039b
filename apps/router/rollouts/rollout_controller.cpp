#include "rollouts/rollout_controller.hpp"

#include <algorithm>
#include <cstdio>
#include <tuple>
#include <utility>

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;

/// Bound on roll-outs at a time; orders for further services are left out.
constexpr std::size_t max_rollouts = 32;
/// Between two decisions, and between two reports of an instance.
constexpr duration work_interval = 250ms;
/// Once all roll-outs are finished, only instances that join are told.
constexpr duration finished_interval = 1s;
/// Instances follow a directive only while they hear of it. After a change it
/// is repeated with each decision for a while: one may be lost.
constexpr duration repeat_time = 1s;
constexpr duration tell_interval = 500ms;
constexpr duration tell_finished_interval = 5s;
constexpr std::string_view self_decided = "self";

std::string number_text(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.4g", value);
    return text;
}

struct answer_sums
{
    version_counts current;
    version_counts target;
};

answer_sums sum(const evidence_totals& totals)
{
    answer_sums result;
    for (const auto& [route, each] : totals.routes) {
        result.current += each.current;
        result.target += each.all_target();
    }
    return result;
}

std::string text_of(const version_counts& counts, std::uint64_t sent)
{
    return "sent " + std::to_string(sent) + " good " +
           std::to_string(counts.good) + " bad " + std::to_string(counts.bad);
}

} // namespace

rollout_controller::rollout_controller(
    io::event_loop& loop, io::row_store& store, const platform_adapter& adapter,
    cluster_view& cluster, const state_controller& state, rollout_relay& relay,
    router_metrics& metrics, router_log& log, const rollout_limits& limits,
    random_engine random)
    : loop_(loop), store_(store), adapter_(adapter), cluster_(cluster),
      state_(state), relay_(relay), metrics_(metrics), log_(log),
      limits_(limits), random_(random), timer_(loop, [this] {
          loop_.guard("run roll-outs", "", [this] { run_periodic_tasks(); });
      })
{
    rollout_relay_handlers handlers;
    handlers.on_directive = [this](const service_id& service,
                                   const rollout_directive& directive) {
        on_directive(service, directive);
    };
    handlers.on_report = [this](const evidence_report& report) {
        on_report(report);
    };
    relay.set_handlers(std::move(handlers));
}

void rollout_controller::set_orders(
    const std::map<service_id, rollout_order>& orders)
{
    std::erase_if(running_, [&](const auto& each) {
        const auto found = orders.find(each.first);
        if (found != orders.end())
            return found->second != each.second.rollout.order();
        log_.state(io::log_level::info, "rollout_withdrawn",
                   {{"service", each.first.value}});
        metrics_.set_rollout(each.first, rollout_phase::waiting, 0);
        return true;
    });
    for (const auto& [service, order] : orders)
        if (!running_.contains(service))
            start(order);
}

void rollout_controller::start(const rollout_order& order)
{
    const auto now = loop_.now();
    if (running_.size() >= max_rollouts) {
        log_.state(io::log_level::warning, "rollout_left_out",
                   {{"service", order.service.value},
                    {"reason", "too many roll-outs at a time"}});
        return;
    }
    running_.emplace(
        order.service,
        running{service_rollout(order, limits_, cluster_, random_, now)});
    log_.state(io::log_level::info, "rollout_started",
               {{"service", order.service.value},
                {"version", order.target_version},
                {"revision", revision_text(order.revision)},
                {"time_limit_ms", std::to_string(to_ms(order.time_limit))}});
    timer_.start_once(duration(1));
}

service_rollout* rollout_controller::find(const service_id& service)
{
    if (running_.empty())
        return nullptr;
    const auto found = running_.find(service);
    return found == running_.end() ? nullptr : &found->second.rollout;
}

void rollout_controller::run_periodic_tasks()
{
    const auto now = loop_.now();
    if (running_.empty())
        return;
    bool all_finished = true;
    for (auto& entry : running_) {
        auto& each = entry.second;
        loop_.guard("run roll-out", entry.first.value, [&] { run(each, now); });
        all_finished = all_finished && each.rollout.is_finished();
    }
    timer_.start_once(all_finished ? finished_interval : work_interval);
}

void rollout_controller::run(running& each, time_point now)
{
    if (is_decider(now))
        decide(each, now);
    else
        each.decider.reset();
    if (!each.rollout.is_finished())
        report(each, now);
    const auto& order = each.rollout.order();
    const auto& directive = each.rollout.directive();
    metrics_.set_rollout(order.service,
                         directive ? directive->phase : rollout_phase::waiting,
                         each.rollout.target_share(now));
}

// The first by name of those that follow the store and reach it; if none does,
// the first of those that follow it.
bool rollout_controller::is_decider(time_point now) const
{
    if (!state_.is_following())
        return false;
    const std::tuple own(state_.access() != store_access::works,
                         cluster_.members.self().name);
    return std::ranges::none_of(
        cluster_.members.live_peers(now), [&](const peer_status& each) {
            return each.heartbeat.following &&
                   std::tuple(each.heartbeat.store != store_access::works,
                              each.who.name) < own;
        });
}

void rollout_controller::decide(running& each, time_point now)
{
    const auto& order = each.rollout.order();
    if (!each.decider)
        each.decider = std::make_unique<rollout_decider>(
            loop_, store_, adapter_.rows, order, limits_,
            [this, service = order.service](std::string_view failure) {
                if (!failure.empty())
                    log_.request(io::log_level::warning, "rollout_not_stored",
                                 {{"service", service.value},
                                  {"reason", std::string(failure)}});
                else
                    timer_.start_once(duration(1));
            });
    std::vector<entry_incarnation> live;
    for (const auto& peer : cluster_.members.live_peers(now))
        live.push_back({peer.who.name, peer.who.incarnation});
    const auto* directive = each.decider->decide(each.rollout, live, now);
    log_stop(each);
    if (!directive)
        return;
    follow(each, *directive, self_decided, now);
    tell_peers(each, *directive, now);
}

void rollout_controller::follow(running& each,
                                const rollout_directive& directive,
                                std::string_view from, time_point now)
{
    if (!each.rollout.follow(directive, now))
        return;
    each.changed_at = now;
    log_directive(each, from);
}

void rollout_controller::tell_peers(running& each,
                                    const rollout_directive& directive,
                                    time_point now)
{
    const bool finished = directive.phase == rollout_phase::finished;
    const auto interval = finished ? tell_finished_interval : tell_interval;
    const bool due =
        now < each.changed_at + repeat_time || now >= each.told_at + interval;
    std::vector<member> to;
    std::set<entry_incarnation> told;
    for (const auto& peer : cluster_.members.live_peers(now)) {
        const entry_incarnation who{peer.who.name, peer.who.incarnation};
        if (due || !each.told.contains(who))
            to.push_back(peer.who);
        told.insert(who);
    }
    each.told = std::move(told);
    if (due)
        each.told_at = now;
    relay_.tell(each.rollout.order().service, directive, to);
}

void rollout_controller::report(running& each, time_point now)
{
    std::vector<member> readers;
    for (const auto& peer : cluster_.members.live_peers(now))
        if (peer.heartbeat.following)
            readers.push_back(peer.who);
    relay_.report(each.rollout.make_report(now), readers);
}

// What an instance knows of the answers; the one that decides knows all.
void rollout_controller::log_directive(running& each, std::string_view from)
{
    const auto& order = each.rollout.order();
    const auto& directive = *each.rollout.directive();
    const auto totals = each.rollout.evidence().totals();
    const auto sums = sum(totals);
    const bool finished = directive.phase == rollout_phase::finished;
    const auto state = directive.target_share > 0 ? "completed" : "rolled_back";
    log_.state(io::log_level::info,
               finished ? "rollout_finished" : "rollout_phase",
               {{"service", order.service.value},
                {"version", order.target_version},
                {finished ? "state" : "phase",
                 finished ? state : std::string(phase_name(directive.phase))},
                {"share", number_text(directive.target_share)},
                {"directive", std::to_string(directive.version)},
                {"from", std::string(from)},
                {"current", text_of(sums.current, totals.sent_to_current)},
                {"target", text_of(sums.target, totals.sent_to_target)}});
}

void rollout_controller::log_stop(running& each)
{
    const auto& reason = each.decider->stopped_by();
    if (!reason || std::exchange(each.stop_logged, true))
        return;
    const auto& order = each.rollout.order();
    log_.state(io::log_level::warning, "rollout_stopped",
               {{"service", order.service.value},
                {"version", order.target_version},
                {"route", reason->route},
                {"reason", reason->reason}});
}

void rollout_controller::on_directive(const service_id& service,
                                      const rollout_directive& directive)
{
    const auto found = running_.find(service);
    if (found != running_.end())
        follow(found->second, directive, "a peer", loop_.now());
}

void rollout_controller::on_report(const evidence_report& report)
{
    const auto found = running_.find(report.service);
    if (found != running_.end())
        found->second.rollout.evidence().merge(report, loop_.now());
}

} // namespace vanillapost::router
