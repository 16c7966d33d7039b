#include "requests/request_task.hpp"

#include "requests/request_limits.hpp"
#include "targets/target_message.hpp"

#include <algorithm>

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;

/// Larger answers are passed on while they arrive; smaller ones are held
/// until they are complete, so that a broken one can be asked for again.
constexpr std::size_t largest_held_answer = 1024 * 1024;
/// Body of an answer that says all in its head.
constexpr std::size_t largest_refusal = 64 * 1024;
/// A request that may run once goes out on a kept connection only if that
/// was alive so lately.
constexpr duration max_silence_once = 500ms;
constexpr duration max_silence_repeatable = 4s;
/// The target of a request that may be hedged is probed while it works: first
/// after this part of the usual work time, then at shorter intervals, a
/// bounded number of times.
constexpr double first_check = 0.5;
/// An attempt that is given up on after so many times the expected time
/// counts as a failure of its target.
constexpr double overdue_factor = 2.5;

std::string describe_out(time_point placed, std::optional<time_point> out)
{
    if (!out)
        return "not out";
    return "out after " + std::to_string(to_ms(*out - placed)) + "ms";
}

} // namespace

void request_task::send(const place_on& place, bool hedge)
{
    const auto now = context_.loop.now();
    const auto* record = context_.known.targets.find(place.target);
    auto* about = context_.known.placer.find(place.target);
    if (!record || !about) {
        wait_for_slot({});
        return;
    }
    auto made = std::make_unique<attempt>();
    made->target = place.target;
    made->born = record->born_ms;
    made->sent_at = now;
    made->expected = place.expected;
    made->slowness = about->slowness(now);
    made->load = about->load(now);
    made->report_age = about->report_age(now);
    made->revision = context_.known.targets_revision();
    io::target_call_request request;
    request.bytes = format_target_message(
        request_, *record, context_.language.headers, deadline_ - now);
    request.id = id_;
    request.head_only = request_.method == "HEAD";
    request.is_wanted = [this, target = place.target] {
        return may_still_go(target);
    };
    request.max_silence =
        may_repeat(rule_.kind) ? max_silence_repeatable : max_silence_once;
    const bool first = ledger_.started() == 0;
    if (!first)
        context_.budgets.of(service_).on_repeat(now);
    context_.metrics.count_attempt(service_, first   ? "first"
                                             : hedge ? "hedge"
                                                     : "repeat");
    ledger_.on_started();
    about->on_sent(now);
    auto& started = *made;
    attempts_.push_back(std::move(made));
    started.call = context_.connections.pool_of(*record).start(
        std::move(request), make_handlers(started));
    hedging_ = false;
    state_ = stage::running;
    measured_.clear();
    probe_rounds_ = 0;
    measure_until_ = {};
    started.progress = attempt_progress(
        context_.statistics.expected_work(rule_),
        context_.known.placer.current_factor(started.target, now), now);
    if (first && may_repeat(rule_.kind))
        watch_at_ =
            now + scaled(context_.statistics.expected_work(rule_), first_check);
}

// A target may have left while its connection was made.
bool request_task::may_still_go(const target_id& target) const
{
    const auto& targets = context_.known.targets;
    const auto* record = targets.find(target);
    return record && targets.is_usable(*record, context_.loop.now());
}

io::target_call_handlers request_task::make_handlers(attempt& made)
{
    io::target_call_handlers handlers;
    handlers.on_head = [this, &made](io::target_answer_head&& head) {
        guard("take answer", [&] { take_head(made, std::move(head)); });
    };
    handlers.on_data = [this, &made](std::string_view data) {
        guard("take answer", [&] { take_data(made, data); });
    };
    handlers.on_done = [this, &made] {
        guard("take answer", [&] { take_end(made); });
    };
    handlers.on_failure = [this, &made](const io::target_failure& failure) {
        guard("take failure", [&] { take_failure(made, failure); });
    };
    return handlers;
}

void request_task::take_head(attempt& from, io::target_answer_head&& head)
{
    from.head = std::move(head);
    // At once: a streamed answer ends much later, and one that is given up on
    // never does.
    context_.conditions.record({from.target, from.born, false, from.sent_at},
                               from.head);
    const auto outcome = judge_answer(from.head, context_.language.headers);
    // Its body would be of no use, and may have no end.
    if (std::holds_alternative<attempt_lost>(outcome)) {
        proceed(from, outcome);
        return;
    }
    if (from.head.length.value_or(0) > largest_held_answer)
        take_long_answer(from, outcome);
}

void request_task::take_data(attempt& from, std::string_view data)
{
    if (from.streaming) {
        exchange_->write(data);
        if (exchange_->pending_bytes() > largest_pending_stream) {
            from.call->pause();
            resume_at_ = context_.loop.now() + waiting_poll;
            arm_timer();
        }
        return;
    }
    from.body.append(data);
    if (from.body.size() <= largest_refusal)
        return;
    const auto outcome = judge_answer(from.head, context_.language.headers);
    const bool says_all_in_head =
        !std::holds_alternative<attempt_answered>(outcome);
    if (says_all_in_head || from.body.size() > largest_held_answer)
        take_long_answer(from, outcome);
}

// One that would be delivered is passed on while it comes; of others no more
// is read.
void request_task::take_long_answer(attempt& from,
                                    const attempt_outcome& outcome)
{
    const auto* answer = std::get_if<attempt_answered>(&outcome);
    if (answer && answer->status < first_server_error) {
        begin_streaming(from);
        return;
    }
    constexpr std::string_view reason = "a failure that is too long";
    note_bad_answer(from, io::answer_fault::too_long, reason);
    if (answer)
        proceed(from, attempt_lost{std::string(reason)});
    else
        proceed(from, outcome);
}

void request_task::begin_streaming(attempt& from)
{
    from.streaming = true;
    exchange_->begin(from.head.status, from.head.headers, from.head.length);
    exchange_->write(from.body);
    from.body.clear();
    // What this answer began, no other can complete: none is placed now.
    hedging_ = false;
    state_ = stage::running;
    measured_.clear();
    watch_at_ = time_point::max();
    for (auto& other : attempts_) {
        if (other.get() == &from)
            continue;
        ledger_.on_abandoned();
        context_.known.placer.find(other->target)
            ->on_ended(attempt_verdict::neutral, context_.loop.now());
    }
    std::erase_if(attempts_,
                  [&](const auto& each) { return each.get() != &from; });
}

void request_task::take_end(attempt& from)
{
    proceed(from, judge_answer(from.head, context_.language.headers));
}

void request_task::take_failure(attempt& from,
                                const io::target_failure& failure)
{
    note_bad_answer(from, failure.fault, failure.reason);
    if (!failure.sent)
        proceed(from, attempt_not_sent{failure.reason});
    else
        proceed(from, attempt_lost{failure.reason});
}

void request_task::note_bad_answer(const attempt& from, io::answer_fault fault,
                                   std::string_view reason)
{
    if (fault == io::answer_fault::none)
        return;
    context_.metrics.count_bad_answer(fault);
    context_.log.request(io::log_level::warning, "target_answer_bad",
                         {{"request_id", id_},
                          {"target", from.target.value},
                          {"reason", std::string(reason)}});
}

std::unique_ptr<request_task::attempt>
request_task::take_attempt(attempt& ended)
{
    const auto found = std::ranges::find(
        attempts_, &ended, [](const auto& each) { return each.get(); });
    auto taken = std::move(*found);
    attempts_.erase(found);
    return taken;
}

void request_task::proceed(attempt& ended, const attempt_outcome& outcome)
{
    auto taken = take_attempt(ended);
    note_ended(*taken, outcome);
    const bool room =
        context_.budgets.of(service_).has_room(context_.loop.now());
    const auto step = ledger_.on_ended(outcome, room);
    const bool repeat_in_time =
        context_.loop.now() + context_.statistics.expected_work(rule_) / 2 <
        deadline_;
    if (taken->streaming) {
        const bool whole = std::holds_alternative<attempt_answered>(outcome);
        if (whole)
            exchange_->finish();
        finish(whole ? request_result::good : request_result::failed,
               taken->head.status, vanillapost::describe(outcome));
        return;
    }
    if (std::holds_alternative<step_repeat>(step) && !repeat_in_time &&
        std::holds_alternative<attempt_answered>(outcome)) {
        deliver(*taken);
        return;
    }
    follow(step, std::move(taken), outcome);
}

void request_task::follow(const attempt_step& step,
                          std::unique_ptr<attempt> ended,
                          const attempt_outcome& outcome)
{
    if (std::holds_alternative<step_deliver>(step)) {
        deliver(*ended);
        return;
    }
    tried_.push_back(ended->target);
    // Only a whole one: what is cut short would look complete.
    if (std::holds_alternative<attempt_answered>(outcome))
        fallback_ = std::move(ended);
    if (std::holds_alternative<step_wait>(step))
        return;
    if (std::holds_alternative<step_repeat>(step))
        repeat();
    else
        give_up(status_bad_gateway, vanillapost::describe(outcome));
}

void request_task::repeat()
{
    hedging_ = false;
    watch_at_ = time_point::max();
    probe_rounds_ = 0;
    measure_until_ = {};
    place();
}

void request_task::note_report(const attempt& from)
{
    auto* about = context_.known.placer.find(from.target);
    if (!about)
        return;
    const auto now = context_.loop.now();
    if (const auto report = read_report(from.head, context_.language))
        about->on_report(*report, false, now);
}

// What was known of the target decides the attempt, so it goes beside its end.
void request_task::note_history(const attempt& ended, std::string_view outcome)
{
    const auto out = ended.call->out_at();
    if (out)
        context_.metrics.observe_send_delay(*out - ended.sent_at);
    char known[160];
    std::snprintf(known, sizeof known,
                  " [expected %lldms, load %.1f, report %lldms old, revision "
                  "%llu, %s]",
                  static_cast<long long>(to_ms(ended.expected)), ended.load,
                  static_cast<long long>(
                      std::min<std::int64_t>(to_ms(ended.report_age), 99'999)),
                  static_cast<unsigned long long>(ended.revision),
                  describe_out(ended.sent_at, out).c_str());
    const auto taken = to_ms(context_.loop.now() - ended.sent_at);
    history_ += (history_.empty() ? "" : "; ") + ended.target.value + " " +
                std::to_string(taken) + "ms ";
    history_ += outcome;
    history_ += known;
}

void request_task::note_ended(const attempt& ended,
                              const attempt_outcome& outcome)
{
    const auto now = context_.loop.now();
    const auto taken = now - ended.sent_at;
    note_history(ended, vanillapost::describe(outcome));
    auto* about = context_.known.placer.find(ended.target);
    if (!about)
        return;
    auto verdict = attempt_verdict::neutral;
    const auto* answer = std::get_if<attempt_answered>(&outcome);
    if (answer)
        verdict = answer->status < first_server_error ? attempt_verdict::good
                                                      : attempt_verdict::failed;
    else if (std::holds_alternative<attempt_lost>(outcome))
        verdict = attempt_verdict::failed;
    else if (!std::holds_alternative<attempt_refused>(outcome))
        verdict = attempt_verdict::unreachable;
    about->on_ended(verdict, now);
    note_report(ended);
    if (verdict == attempt_verdict::good) {
        const auto plain = scaled(ended.expected, 1 / ended.slowness);
        about->on_service_time(taken, plain, now);
        const auto usual = context_.statistics.expected_work(rule_);
        const double load_factor = static_cast<double>(plain.count()) /
                                   static_cast<double>(usual.count());
        context_.statistics.on_answer(
            rule_, scaled(taken, 1 / std::max(load_factor, 0.1)),
            request_.body.size() + ended.body.size());
    }
    context_.slot_freed(service_);
}

void request_task::abandon_attempts()
{
    const auto now = context_.loop.now();
    for (auto& each : attempts_) {
        ledger_.on_abandoned();
        const auto taken = now - each->sent_at;
        note_history(*each, "abandoned");
        auto* about = context_.known.placer.find(each->target);
        if (!about)
            continue;
        const auto plain = scaled(each->expected, 1 / each->slowness);
        // A target that is silent to some requests answers its probes.
        const bool overdue = taken > scaled(plain, overdue_factor);
        about->on_ended(
            overdue ? attempt_verdict::failed : attempt_verdict::neutral, now);
        if (overdue)
            about->on_service_time(taken, plain, now);
    }
    attempts_.clear();
}

} // namespace vanillapost::router
