#include "requests/request_task.hpp"

#include "requests/request_limits.hpp"

#include <algorithm>

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;

/// How long a request waits for probes: a few round trips to another data
/// centre.
constexpr duration probe_wait_limit = 8ms;
constexpr int max_probe_rounds = 2;
/// A request waits for a slot for its latency objective divided by this, then
/// it is queued behind others at a target, or refused.
constexpr int waiting_divisor = 8;
constexpr duration min_waiting_limit = 20ms;
constexpr double check_interval_share = 0.25;
constexpr duration min_check_interval = 25ms;
constexpr int max_checks = 10;
/// A request that may have ended a target has its turn for its expected work
/// times this, as its new target may be slow.
constexpr double turn_work_factor = 2;
/// How soon a target ends under a request does not depend on its usual work.
constexpr duration min_turn = 250ms;
/// Suspicion after a single end is weak, so a request waits for so many turns
/// of others at most.
constexpr int max_turns_waited = 2;
/// A new attempt is expected to take this many times its work on an idle
/// target.
constexpr double new_attempt_factor = 1.1;
/// Share of the repeat budget that is reserved for repeats after failures.
/// Hedges do not use it.
constexpr double hedge_reserve = 0.25;
/// A request is not sent with less time left than this fraction of its expected
/// work.
constexpr double min_work_share = 0.5;

} // namespace

request_task::request_task(std::uint64_t number, request_context& context,
                           std::unique_ptr<io::caller_exchange> exchange,
                           incoming_request request, service_id service)
    : number_(number), context_(context), exchange_(std::move(exchange)),
      request_(std::move(request.message)), id_(std::move(request.id)),
      rule_(std::move(request.rule)),
      organisation_(std::move(request.organisation)),
      authorization_(std::move(request.authorization)),
      organisation_priority_(
          request.organisation_priority.value_or(rule_.priority)),
      is_trial_(request.is_trial), is_relayed_(request.is_relayed),
      claimed_(!request.idempotency_key.empty()), service_(std::move(service)),
      tracker_(may_repeat(rule_.kind),
               std::min(request.relayed_attempts.value_or(rule_.max_attempts),
                        rule_.max_attempts)),
      arrived_(request.arrived), placeable_since_(request.begun),
      timer_(context.loop,
             [this] { guard("check request timers", [this] { on_timer(); }); })
{
    set_deadlines(request.time_left);
    if (context.shutdown)
        deadline_ = std::min(deadline_, context.shutdown->answers_until());
}

request_task::~request_task() = default;

void request_task::start()
{
    exchange_->on_gone(
        [this] { guard("drop request", [this] { on_gone(); }); });
    guard("place request", [this] { place(); });
}

void request_task::limit_deadline(time_point latest)
{
    if (state_ == stage::ended || latest >= deadline_)
        return;
    deadline_ = latest;
    arm_timer();
}

void request_task::set_deadlines(std::optional<duration> time_left)
{
    auto limit = time_left.value_or(default_deadline);
    const auto waited = context_.statistics.waited(rule_, limit);
    limit = within_timeout(rule_, limit);
    deadline_ = arrived_ + limit;
    objective_ = rule_.latency_objective == duration::zero()
                     ? deadline_
                     : arrived_ + rule_.latency_objective - waited;
}

// Requests that can still be answered in time come first, then those with the
// lower `priority` number of the organisation and of the route, then the older
// ones.
std::tuple<bool, int, int, time_point> request_task::rank() const
{
    const auto work = context_.statistics.expected_work(rule_);
    const bool late = context_.loop.now() + work > objective_;
    return {late, organisation_priority_, rule_.priority, arrived_};
}

duration request_task::waiting_limit() const
{
    return std::max(rule_.latency_objective / waiting_divisor,
                    min_waiting_limit);
}

placement_request request_task::make_placement_request() const
{
    placement_request result;
    result.service = service_;
    result.expected_work = context_.statistics.expected_work(rule_);
    result.expected_kib = context_.statistics.expected_kib(rule_);
    result.repeatable = may_repeat(rule_.kind);
    result.tried = tried_;
    for (const auto& each : attempts_)
        result.tried.push_back(each->target);
    return result;
}

placement_options request_task::make_placement_options(time_point now) const
{
    placement_options result;
    const bool in_time =
        probe_deadline_ == time_point{} || now < probe_deadline_;
    result.probing_allowed = probe_rounds_ < max_probe_rounds && in_time;
    result.time_budget = objective_ - now;
    return result;
}

void request_task::place()
{
    const auto now = context_.loop.now();
    const auto work = context_.statistics.expected_work(rule_);
    if (!hedging_ && deadline_ - now < scaled(work, min_work_share)) {
        give_up(status_gateway_timeout, "too little time is left");
        return;
    }
    const bool is_own_trial = is_trial_ && tracker_.started() == 0;
    if (!hedging_ && !is_own_trial && is_held()) {
        give_up_held();
        return;
    }
    if (!may_take_turn()) {
        wait_for_turn();
        return;
    }
    if (context_.cluster.is_cut_off() && relay()) {
        arm_timer();
        return;
    }
    follow(context_.cluster.placer.choose(make_placement_request(),
                                          make_placement_options(now), now));
    if (state_ != stage::ended)
        arm_timer();
}

// The request that was in flight when its target ended is repeated at once;
// others like it wait, so that a harmful one ends no target for each of them.
bool request_task::may_take_turn()
{
    const bool is_first = tracker_.started() == 0 && !is_trial_;
    if (!is_first || has_turn_ || !is_suspected())
        return true;
    const auto now = context_.loop.now();
    const auto work = context_.statistics.expected_work(rule_);
    const auto turn = std::max(scaled(work, turn_work_factor), min_turn);
    const auto latest =
        std::min(arrived_ + turn * max_turns_waited, objective_ - work);
    has_turn_ = now >= latest || context_.crashes.suspects().takes_turn(
                                     identity_of(request_), turn, now);
    if (has_turn_)
        placeable_since_ = now;
    return has_turn_;
}

void request_task::wait_for_turn()
{
    if (state_ != stage::queued)
        context_.metrics.count_turn_wait();
    state_ = stage::queued;
    retry_placement_at_ = context_.loop.now() + recheck_interval;
    arm_timer();
}

void request_task::follow(const placement_decision& decision)
{
    if (const auto* chosen = std::get_if<place_on>(&decision)) {
        send(*chosen, hedging_);
        return;
    }
    if (const auto* first = std::get_if<probe_first>(&decision)) {
        probe_targets(first->targets);
        return;
    }
    if (hedging_) {
        // No target for the hedge: the running attempt goes on alone.
        hedging_ = false;
        state_ = stage::running;
        return;
    }
    if (const auto* full = std::get_if<no_capacity>(&decision)) {
        wait_for_slot({full->until_capacity});
        return;
    }
    const auto& usable_in = std::get<no_target>(decision).until_usable;
    wait_for_slot(usable_in ? retry_after_estimate{*usable_in, true}
                            : retry_after_estimate{});
}

void request_task::wait_for_slot(const retry_after_estimate& estimate)
{
    const auto now = context_.loop.now();
    const auto waits_until = placeable_since_ + waiting_limit();
    if (context_.cluster.placer.usable_targets(service_) == 0) {
        give_up(status_bad_gateway, "no target can be used", estimate);
        return;
    }
    if (estimate.is_earliest && now + estimate.wait > waits_until) {
        give_up(status_bad_gateway, "no target takes more now", estimate);
        return;
    }
    if (now >= waits_until) {
        give_up(status_bad_gateway, "all targets are full", estimate);
        return;
    }
    const auto* service = context_.cluster.routes().service(service_);
    const bool queue_full = state_ != stage::waiting && service &&
                            service->max_waiting > 0 &&
                            context_.waiting(service_) >= service->max_waiting;
    if (queue_full) {
        give_up(status_bad_gateway, "too many requests wait", estimate,
                status_too_many_requests);
        return;
    }
    state_ = stage::waiting;
    retry_placement_at_ = std::min(now + recheck_interval, waits_until);
    probe_rounds_ = 0;
    probe_deadline_ = {};
}

void request_task::probe_targets(const std::vector<target_id>& targets)
{
    state_ = stage::probing;
    ++probe_rounds_;
    const auto now = context_.loop.now();
    if (probe_deadline_ == time_point{})
        probe_deadline_ = now + probe_wait_limit;
    for (const auto& target : targets) {
        pending_probes_.insert(target);
        context_.probes.request_probe(target, number_);
    }
}

void request_task::on_probe_done(const target_id& target)
{
    guard("process probe result", [&] { process_probe_result(target); });
}

void request_task::process_probe_result(const target_id& target)
{
    const bool watched = state_ == stage::running && !attempts_.empty() &&
                         next_check_at_ != time_point::max() &&
                         attempts_.front()->target == target;
    if (watched)
        consider_hedge();
    if (state_ != stage::probing)
        return;
    pending_probes_.erase(target);
    if (pending_probes_.empty())
        place();
}

void request_task::on_slot_freed()
{
    if (state_ == stage::waiting)
        guard("place request", [this] { place(); });
}

duration request_task::check_delay() const
{
    return std::max(
        scaled(context_.statistics.expected_work(rule_), check_interval_share),
        min_check_interval);
}

void request_task::on_gone()
{
    if (state_ != stage::ended)
        finish(request_result::gone, 0, "the caller closed its connection");
}

// Probes the target of the running attempt, or hedges at once if that target
// may be gone.
void request_task::check_running_attempt()
{
    next_check_at_ = time_point::max();
    const auto now = context_.loop.now();
    const bool allowed =
        ++checks_ <= max_checks && tracker_.may_start() && !is_suspected() &&
        context_.budgets.of(service_).has_room(now, hedge_reserve);
    if (!allowed)
        return;
    const auto& target = attempts_.front()->target;
    const auto* target_info = context_.cluster.placer.find(target);
    if (!target_info || target_info->may_be_down(now)) {
        hedge();
        return;
    }
    next_check_at_ = now + check_delay();
    context_.probes.request_probe(target, number_);
}

void request_task::consider_hedge()
{
    const auto now = context_.loop.now();
    const auto work = context_.statistics.expected_work(rule_);
    auto& running = *attempts_.front();
    running.progress.on_factor(
        context_.cluster.placer.service_time_factor(running.target, now), now);
    const bool wanted = is_hedge_worthwhile(
        running.progress.remaining(now),
        attempt_progress::expected(work, new_attempt_factor), objective_ - now);
    const bool allowed =
        tracker_.may_start() &&
        context_.budgets.of(service_).has_room(now, hedge_reserve);
    if (wanted && allowed)
        hedge();
}

void request_task::hedge()
{
    next_check_at_ = time_point::max();
    hedging_ = true;
    probe_rounds_ = 0;
    probe_deadline_ = {};
    place();
}

void request_task::on_timer()
{
    const auto now = context_.loop.now();
    if (now >= deadline_) {
        give_up(status_gateway_timeout, "no answer in time");
        return;
    }
    if (now >= resume_at_)
        resume_streams();
    if (state_ == stage::probing && now >= probe_deadline_)
        place();
    else if (is_waiting() && now >= retry_placement_at_)
        place();
    else if (state_ == stage::running && now >= next_check_at_)
        check_running_attempt();
    if (state_ != stage::ended)
        arm_timer();
}

// Resumes reading from targets if the caller has caught up; otherwise checks
// again later.
void request_task::resume_streams()
{
    if (exchange_->pending_bytes() > max_pending_stream_bytes) {
        resume_at_ = context_.loop.now() + recheck_interval;
        return;
    }
    resume_at_ = time_point::max();
    for (auto& each : attempts_)
        if (each->streaming)
            each->call->resume();
}

void request_task::arm_timer()
{
    auto next = deadline_;
    next = std::min(next, resume_at_);
    if (state_ == stage::probing)
        next = std::min(next, probe_deadline_);
    else if (is_waiting())
        next = std::min(next, retry_placement_at_);
    else if (state_ == stage::running)
        next = std::min(next, next_check_at_);
    const auto now = context_.loop.now();
    timer_.start_once(std::max(next - now, duration(100)));
}

} // namespace vanillapost::router
