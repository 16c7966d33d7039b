#include "requests/request_task.hpp"

#include "requests/request_limits.hpp"

#include <algorithm>

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;

/// How long probes may hold up a request: some round trips to another data
/// centre.
constexpr duration measure_limit = 8ms;
constexpr int max_probe_rounds = 2;
/// A request waits for a slot for this part of its latency objective, then it
/// is put behind others at a target, or refused.
constexpr int waiting_share = 8;
constexpr duration shortest_waiting_limit = 20ms;
constexpr double check_interval = 0.25;
constexpr duration shortest_check_interval = 25ms;
constexpr int most_checks = 10;
/// A new attempt takes somewhat longer than its work on an idle target.
constexpr double fresh_attempt_factor = 1.1;
/// Share of the repeat budget that hedges leave to repeats after failures.
constexpr double hedge_reserve = 0.25;
/// With less time than this part of the usual work a request is not sent.
constexpr double least_work_share = 0.5;

} // namespace

request_task::request_task(std::uint64_t number, request_context& context,
                           std::unique_ptr<io::caller_exchange> exchange,
                           incoming_request request, service_id service)
    : number_(number), context_(context), exchange_(std::move(exchange)),
      request_(std::move(request.message)), id_(std::move(request.id)),
      rule_(std::move(request.rule)), claimed_(!request.booking_key.empty()),
      service_(std::move(service)),
      ledger_(may_repeat(rule_.kind), rule_.max_attempts),
      arrived_(request.arrived), timer_(context.loop, [this] {
          guard("time request", [this] { on_timer(); });
      })
{
    set_deadlines(request.time_left);
}

request_task::~request_task() = default;

void request_task::start()
{
    exchange_->on_gone(
        [this] { guard("drop request", [this] { on_gone(); }); });
    guard("place request", [this] { place(); });
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

// Who can still be answered in time goes before who cannot, then by priority.
std::tuple<bool, int, time_point> request_task::rank() const
{
    const auto work = context_.statistics.expected_work(rule_);
    const bool late = context_.loop.now() + work > objective_;
    return {late, rule_.priority, arrived_};
}

duration request_task::waiting_limit() const
{
    return std::max(rule_.latency_objective / waiting_share,
                    shortest_waiting_limit);
}

placement_request request_task::describe() const
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

placement_effort request_task::effort(time_point now) const
{
    placement_effort result;
    const bool in_time = measure_until_ == time_point{} || now < measure_until_;
    result.may_measure = probe_rounds_ < max_probe_rounds && in_time;
    result.queue_until = objective_ - now;
    return result;
}

void request_task::place()
{
    const auto now = context_.loop.now();
    const auto work = context_.statistics.expected_work(rule_);
    if (!hedging_ && deadline_ - now < scaled(work, least_work_share)) {
        give_up(status_gateway_timeout, "too little time is left");
        return;
    }
    follow(context_.known.placer.choose(describe(), effort(now), now));
    if (state_ != stage::ended)
        arm_timer();
}

void request_task::follow(const placement_decision& decision)
{
    if (const auto* chosen = std::get_if<place_on>(&decision)) {
        send(*chosen, hedging_);
        return;
    }
    if (const auto* first = std::get_if<measure_first>(&decision)) {
        measure(first->targets);
        return;
    }
    if (hedging_) {
        // No better place: the attempt that is out goes on alone.
        hedging_ = false;
        state_ = stage::running;
        return;
    }
    if (const auto* full = std::get_if<no_room>(&decision)) {
        wait_for_slot({full->until_room});
        return;
    }
    const auto& turn = std::get<no_target>(decision).until_usable;
    wait_for_slot(turn ? return_estimate{*turn, true} : return_estimate{});
}

void request_task::wait_for_slot(const return_estimate& room)
{
    const auto now = context_.loop.now();
    const auto waits_until = arrived_ + waiting_limit();
    if (context_.known.placer.usable_targets(service_) == 0) {
        give_up(status_bad_gateway, "no target can be used", room);
        return;
    }
    if (room.is_earliest && now + room.wait > waits_until) {
        give_up(status_bad_gateway, "no target takes more now", room);
        return;
    }
    if (now >= waits_until) {
        give_up(status_bad_gateway, "all targets are full", room);
        return;
    }
    const auto* service = context_.known.routes().service(service_);
    const bool queue_full = state_ != stage::waiting && service &&
                            service->max_waiting > 0 &&
                            context_.waiting(service_) >= service->max_waiting;
    if (queue_full) {
        give_up(status_bad_gateway, "too many requests wait", room,
                status_too_many_requests);
        return;
    }
    state_ = stage::waiting;
    retry_place_at_ = std::min(now + waiting_poll, arrived_ + waiting_limit());
    probe_rounds_ = 0;
    measure_until_ = {};
}

void request_task::measure(const std::vector<target_id>& targets)
{
    state_ = stage::measuring;
    ++probe_rounds_;
    const auto now = context_.loop.now();
    if (measure_until_ == time_point{})
        measure_until_ = now + measure_limit;
    for (const auto& target : targets) {
        measured_.insert(target);
        context_.probes.measure(target, number_);
    }
}

void request_task::on_measured(const target_id& target)
{
    guard("take measurement", [&] { take_measurement(target); });
}

void request_task::take_measurement(const target_id& target)
{
    const bool watched = state_ == stage::running && !attempts_.empty() &&
                         watch_at_ != time_point::max() &&
                         attempts_.front()->target == target;
    if (watched)
        consider_hedge();
    if (state_ != stage::measuring)
        return;
    measured_.erase(target);
    if (measured_.empty())
        place();
}

void request_task::on_slot_freed()
{
    if (state_ == stage::waiting)
        guard("place request", [this] { place(); });
}

duration request_task::watch_interval() const
{
    return std::max(
        scaled(context_.statistics.expected_work(rule_), check_interval),
        shortest_check_interval);
}

void request_task::on_gone()
{
    if (state_ != stage::ended)
        finish(request_result::gone, 0, "the caller closed its connection");
}

// Has the target measured that works on the request.
void request_task::watch()
{
    watch_at_ = time_point::max();
    const auto now = context_.loop.now();
    const bool allowed =
        ++checks_ <= most_checks && ledger_.may_start() &&
        context_.budgets.of(service_).has_room(now, hedge_reserve);
    if (!allowed)
        return;
    const auto& target = attempts_.front()->target;
    const auto* about = context_.known.placer.find(target);
    if (!about || about->is_doubtful(now)) {
        hedge();
        return;
    }
    watch_at_ = now + watch_interval();
    context_.probes.measure(target, number_);
}

void request_task::consider_hedge()
{
    const auto now = context_.loop.now();
    const auto work = context_.statistics.expected_work(rule_);
    auto& running = *attempts_.front();
    running.progress.on_factor(
        context_.known.placer.current_factor(running.target, now), now);
    const bool wanted = is_hedge_worthwhile(
        running.progress.remaining(now),
        attempt_progress::expected(work, fresh_attempt_factor),
        objective_ - now);
    const bool allowed =
        ledger_.may_start() &&
        context_.budgets.of(service_).has_room(now, hedge_reserve);
    if (wanted && allowed)
        hedge();
}

void request_task::hedge()
{
    watch_at_ = time_point::max();
    hedging_ = true;
    probe_rounds_ = 0;
    measure_until_ = {};
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
    if (state_ == stage::measuring && now >= measure_until_)
        place();
    else if (state_ == stage::waiting && now >= retry_place_at_)
        place();
    else if (state_ == stage::running && now >= watch_at_)
        watch();
    if (state_ != stage::ended)
        arm_timer();
}

// Looks again later while the caller has not read what is there.
void request_task::resume_streams()
{
    if (exchange_->pending_bytes() > largest_pending_stream) {
        resume_at_ = context_.loop.now() + waiting_poll;
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
    if (state_ == stage::measuring)
        next = std::min(next, measure_until_);
    else if (state_ == stage::waiting)
        next = std::min(next, retry_place_at_);
    else if (state_ == stage::running)
        next = std::min(next, watch_at_);
    const auto now = context_.loop.now();
    timer_.start_once(std::max(next - now, duration(100)));
}

} // namespace vanillapost::router
