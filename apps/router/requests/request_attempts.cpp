#include "requests/request_task.hpp"

#include "requests/request_limits.hpp"
#include "targets/target_message.hpp"

#include <algorithm>
#include <utility>

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;

/// Larger answers are streamed to the caller while they arrive. Smaller ones
/// are buffered until they are complete, so that the request can be repeated
/// when an answer breaks off.
constexpr std::size_t max_buffered_answer = 1024 * 1024;
/// Limit on the body of an answer whose headers alone decide the outcome; such
/// an answer is not delivered.
constexpr std::size_t max_undelivered_body = 64 * 1024;
/// A request that must not run twice reuses a connection only if that has shown
/// a sign of life within this time.
constexpr duration max_silence_once = 500ms;
constexpr duration max_silence_repeatable = 4s;
/// While a request that may be hedged runs, its target is probed: first after
/// this fraction of the expected work time, then at shorter intervals, a
/// bounded number of times.
constexpr double first_check_share = 0.5;
/// An abandoned attempt counts as a failure of its target if it has taken more
/// than this multiple of the expected time.
constexpr double overdue_factor = 2.5;

std::string describe_send_delay(time_point placed,
                                std::optional<time_point> written_out_at)
{
    if (!written_out_at)
        return "not out";
    return "out after " + std::to_string(to_ms(*written_out_at - placed)) +
           "ms";
}

} // namespace

void request_task::send(const place_on& place, bool hedge)
{
    const auto now = context_.loop.now();
    const auto* record = context_.cluster.targets.find(place.target);
    auto* target_info = context_.cluster.placer.find(place.target);
    if (!record || !target_info) {
        wait_for_slot({});
        return;
    }
    auto created = std::make_unique<attempt>();
    created->target = place.target;
    created->start_unix_ms = record->start_unix_ms;
    created->version = record->version;
    created->sent_at = now;
    created->expected = place.expected;
    created->left_because = place.left_because;
    created->unexplained_slowdown = target_info->unexplained_slowdown(now);
    created->load = target_info->load(now);
    created->report_age = target_info->report_age(now);
    created->revision = context_.cluster.targets_revision();
    io::target_call_request request;
    request.bytes =
        format_target_message(request_, *record, context_.adapter.headers,
                              deadline_ - now, organisation_);
    request.id = id_;
    request.head_only = request_.method == "HEAD";
    request.is_wanted = [this, target = place.target] {
        return is_target_still_usable(target);
    };
    request.max_silence =
        may_repeat(rule_.kind) ? max_silence_repeatable : max_silence_once;
    const bool first = tracker_.started() == 0;
    log_leaving_changes();
    if (!first) {
        context_.budgets.of(service_).on_retry(now);
        context_.charge_quota(organisation_);
    }
    context_.metrics.count_attempt(service_, first   ? "first"
                                             : hedge ? "hedge"
                                                     : "repeat");
    tracker_.on_started();
    target_info->on_sent(now);
    if (auto* rollout = context_.rollouts.find(service_)) {
        rollout->on_sent(record->version);
        context_.metrics.count_rollout_request(
            service_, rollout->side_of(record->version));
    }
    auto& started = *created;
    attempts_.push_back(std::move(created));
    started.call = context_.connections.pool_of(*record).start(
        std::move(request), make_handlers(started));
    hedging_ = false;
    state_ = stage::running;
    pending_probes_.clear();
    probe_rounds_ = 0;
    probe_deadline_ = {};
    started.progress = attempt_progress(
        context_.statistics.expected_work(rule_),
        context_.cluster.placer.service_time_factor(started.target, now), now);
    if (first && may_repeat(rule_.kind))
        next_check_at_ = now + scaled(context_.statistics.expected_work(rule_),
                                      first_check_share);
}

void request_task::log_leaving_changes()
{
    const auto now = context_.loop.now();
    for (const auto& each : context_.cluster.placer.take_leaving_changes(now))
        context_.log.request(
            io::log_level::info,
            each.began ? "leaving_data_centre" : "leaving_data_centre_ended",
            {{"service", each.service.value},
             {"cause", each.began ? std::string(to_string(*each.began)) : ""}});
}

void request_task::count_left(const attempt& ended)
{
    if (!ended.left_because)
        return;
    const auto bytes = request_.body.size() + ended.received;
    context_.metrics.count_left(service_, to_string(*ended.left_because),
                                bytes);
}

// The target may have left while the connection was being established.
bool request_task::is_target_still_usable(const target_id& target) const
{
    const auto& targets = context_.cluster.targets;
    const auto* record = targets.find(target);
    return record && targets.is_usable(*record, context_.loop.now());
}

io::target_call_handlers request_task::make_handlers(attempt& created)
{
    io::target_call_handlers handlers;
    handlers.on_head = [this, &created](io::target_answer_head&& head) {
        guard("process answer",
              [&] { process_head(created, std::move(head)); });
    };
    handlers.on_data = [this, &created](std::string_view data) {
        guard("process answer", [&] { process_data(created, data); });
    };
    handlers.on_done = [this, &created] {
        guard("process answer", [&] { process_end(created); });
    };
    handlers.on_failure = [this, &created](const io::target_failure& failure) {
        guard("process failure", [&] { process_failure(created, failure); });
    };
    return handlers;
}

void request_task::process_head(attempt& from, io::target_answer_head&& head)
{
    from.head = std::move(head);
    // Signals are recorded before the body arrives: a streamed answer ends much
    // later, and an abandoned one never does.
    if (!from.is_relay)
        context_.signals.record(
            {from.target, from.start_unix_ms, false, from.sent_at}, from.head);
    const auto outcome = classify(from);
    // The body would be useless, and may never end.
    if (std::holds_alternative<attempt_lost>(outcome)) {
        finish_attempt(from, outcome);
        return;
    }
    if (from.head.length.value_or(0) > max_buffered_answer)
        process_long_answer(from, outcome);
}

void request_task::process_data(attempt& from, std::string_view data)
{
    from.received += data.size();
    if (from.streaming) {
        exchange_->write(data);
        if (exchange_->pending_bytes() > max_pending_stream_bytes) {
            from.call->pause();
            resume_at_ = context_.loop.now() + recheck_interval;
            arm_timer();
        }
        return;
    }
    from.body.append(data);
    if (from.body.size() <= max_undelivered_body)
        return;
    const auto outcome = classify(from);
    const bool headers_decide =
        !std::holds_alternative<attempt_answered>(outcome);
    if (headers_decide || from.body.size() > max_buffered_answer)
        process_long_answer(from, outcome);
}

// Streams an answer that is to be delivered; of any other, reads no more.
void request_task::process_long_answer(attempt& from,
                                       const attempt_outcome& outcome)
{
    const auto* answer = std::get_if<attempt_answered>(&outcome);
    if (answer && answer->status < first_server_error) {
        begin_streaming(from);
        return;
    }
    constexpr std::string_view reason = "a failure that is too long";
    report_bad_answer(from, io::answer_fault::too_long, reason);
    if (answer)
        finish_attempt(from, attempt_lost{std::string(reason)});
    else
        finish_attempt(from, outcome);
}

void request_task::begin_streaming(attempt& from)
{
    from.streaming = true;
    exchange_->begin(from.head.status, from.head.headers, from.head.length);
    exchange_->write(from.body);
    from.body.clear();
    // No other attempt can complete the answer that has begun, so none is
    // placed any more and those in flight are dropped.
    hedging_ = false;
    state_ = stage::running;
    pending_probes_.clear();
    next_check_at_ = time_point::max();
    for (auto& other : attempts_) {
        if (other.get() == &from)
            continue;
        tracker_.on_abandoned();
        if (auto* target_info = context_.cluster.placer.find(other->target))
            target_info->on_ended(health_signal::neutral, context_.loop.now());
    }
    std::erase_if(attempts_,
                  [&](const auto& each) { return each.get() != &from; });
}

void request_task::process_end(attempt& from)
{
    finish_attempt(from, classify(from));
}

void request_task::process_failure(attempt& from,
                                   const io::target_failure& failure)
{
    report_bad_answer(from, failure.fault, failure.reason);
    const bool was_silent =
        failure.fault == io::answer_fault::none && from.head.status == 0;
    if (was_silent && !from.is_relay)
        context_.signals.record_silence(from.target);
    if (failure.refused && !from.is_relay)
        context_.connection_refused(from.target);
    if (!failure.sent) {
        finish_attempt(from, attempt_not_sent{failure.reason});
        return;
    }
    if (was_silent && !from.is_relay)
        suspect_crash(from);
    finish_attempt(from, attempt_lost{failure.reason});
}

// A probe shows whether the target has ended with the connection.
void request_task::suspect_crash(const attempt& from)
{
    context_.crashes.suspects().on_connection_lost(
        identity_of(request_), from.target.value, from.start_unix_ms,
        context_.loop.now());
    context_.probes.check_connection(from.target);
    unchecked_target_ = from.target;
}

bool request_task::is_held() const
{
    const auto& suspects = context_.crashes.suspects();
    return !suspects.is_empty() &&
           suspects.is_held(identity_of(request_), context_.loop.now());
}

bool request_task::is_suspected() const
{
    const auto& suspects = context_.crashes.suspects();
    return !suspects.is_empty() && suspects.is_suspected(identity_of(request_));
}

void request_task::give_up_held()
{
    const auto left = context_.crashes.suspects().hold_left(
        identity_of(request_), context_.loop.now());
    give_up(status_bad_gateway, held_reason, {left, true});
}

void request_task::report_bad_answer(const attempt& from,
                                     io::answer_fault fault,
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
request_task::remove_attempt(attempt& ended)
{
    const auto found = std::ranges::find(
        attempts_, &ended, [](const auto& each) { return each.get(); });
    auto taken = std::move(*found);
    attempts_.erase(found);
    return taken;
}

void request_task::finish_attempt(attempt& ended,
                                  const attempt_outcome& outcome)
{
    auto finished = remove_attempt(ended);
    record_outcome(*finished, outcome);
    if (finished->is_relay && may_have_run(outcome)) {
        relayed_ = true;
        tracker_.on_attempts_given_away();
    }
    const bool budget_left =
        context_.budgets.of(service_).has_room(context_.loop.now());
    const auto step = tracker_.on_ended(outcome, budget_left);
    const bool repeat_in_time =
        context_.loop.now() + context_.statistics.expected_work(rule_) / 2 <
        deadline_;
    if (finished->streaming) {
        const bool complete = std::holds_alternative<attempt_answered>(outcome);
        if (complete)
            exchange_->finish();
        finish(complete ? request_result::good : request_result::failed,
               finished->head.status, vanillapost::describe(outcome));
        return;
    }
    if (std::holds_alternative<step_retry>(step) && !repeat_in_time &&
        std::holds_alternative<attempt_answered>(outcome)) {
        deliver(*finished);
        return;
    }
    follow(step, std::move(finished), outcome);
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
    // Only a complete answer: a truncated one would look complete to the
    // caller.
    if (std::holds_alternative<attempt_answered>(outcome))
        fallback_ = std::move(ended);
    if (std::holds_alternative<step_wait>(step))
        return;
    const bool retry = std::holds_alternative<step_retry>(step);
    if (retry)
        repeat();
    else
        give_up(status_bad_gateway, vanillapost::describe(outcome));
}

void request_task::repeat()
{
    hedging_ = false;
    next_check_at_ = time_point::max();
    probe_rounds_ = 0;
    probe_deadline_ = {};
    const auto unchecked = std::exchange(unchecked_target_, std::nullopt);
    if (!unchecked) {
        place();
        return;
    }
    // If that target has ended, this request may be what ended it.
    probe_targets({*unchecked});
    probe_rounds_ = 0;
    arm_timer();
}

void request_task::record_load_report(const attempt& from)
{
    auto* target_info = context_.cluster.placer.find(from.target);
    if (!target_info)
        return;
    const auto now = context_.loop.now();
    if (const auto report = read_report(from.head, context_.adapter))
        target_info->on_report(*report, false, now);
}

// Adds the outcome together with what was known of the target when it was
// chosen, since that explains the choice.
void request_task::append_history(const attempt& ended,
                                  std::string_view outcome)
{
    count_left(ended);
    const auto written_out_at = ended.call->out_at();
    if (written_out_at)
        context_.metrics.observe_send_delay(*written_out_at - ended.sent_at);
    // Versions matter to who reads the log only while one replaces another.
    const auto version = context_.rollouts.find(service_)
                             ? ", version " + ended.version
                             : std::string();
    char details[192];
    std::snprintf(details, sizeof details,
                  " [expected %lldms, load %.1f, report %lldms old, revision "
                  "%s, %s",
                  static_cast<long long>(to_ms(ended.expected)), ended.load,
                  static_cast<long long>(
                      std::min<std::int64_t>(to_ms(ended.report_age), 99'999)),
                  revision_text(ended.revision).c_str(),
                  describe_send_delay(ended.sent_at, written_out_at).c_str());
    const auto taken = to_ms(context_.loop.now() - ended.sent_at);
    history_ += (history_.empty() ? "" : "; ") + ended.target.value + " " +
                std::to_string(taken) + "ms ";
    history_ += outcome;
    if (ended.left_because)
        history_ += ", left the data centre: " +
                    std::string(to_string(*ended.left_because));
    history_ += details;
    history_ += version + "]";
}

void request_task::record_for_rollout(const attempt& ended, bool good,
                                      duration taken)
{
    auto* rollout = context_.rollouts.find(service_);
    if (!rollout || ended.is_relay)
        return;
    rollout->on_ended(rule_.name, ended.target, ended.version, good, taken);
    context_.metrics.count_rollout_answer(
        service_, rollout->side_of(ended.version), good);
}

void request_task::record_outcome(const attempt& ended,
                                  const attempt_outcome& outcome)
{
    const auto now = context_.loop.now();
    const auto taken = now - ended.sent_at;
    append_history(ended, vanillapost::describe(outcome));
    auto* target_info = context_.cluster.placer.find(ended.target);
    if (!target_info)
        return;
    auto signal = health_signal::neutral;
    const auto* answer = std::get_if<attempt_answered>(&outcome);
    if (may_have_run(outcome))
        record_for_rollout(ended, answer && answer->status < first_server_error,
                           taken);
    const bool clears =
        answer && answer->status < first_server_error && !ended.is_relay;
    if (clears && !context_.crashes.suspects().is_empty())
        context_.crashes.on_answered(identity_of(request_));
    if (answer)
        signal = answer->status < first_server_error ? health_signal::good
                                                     : health_signal::failed;
    else if (std::holds_alternative<attempt_lost>(outcome))
        signal = health_signal::failed;
    else if (!std::holds_alternative<attempt_refused>(outcome))
        signal = health_signal::unreachable;
    target_info->on_ended(signal, now);
    record_load_report(ended);
    if (signal == health_signal::good) {
        const auto nominal =
            scaled(ended.expected, 1 / ended.unexplained_slowdown);
        target_info->on_service_time(taken, nominal, now);
        const auto work = context_.statistics.expected_work(rule_);
        const double load_factor = static_cast<double>(nominal.count()) /
                                   static_cast<double>(work.count());
        context_.statistics.on_answer(
            rule_, scaled(taken, 1 / std::max(load_factor, 0.1)),
            request_.body.size() + ended.body.size());
    }
    context_.slot_freed(service_);
}

void request_task::abandon_attempts(bool caller_left)
{
    const auto now = context_.loop.now();
    for (auto& each : attempts_) {
        tracker_.on_abandoned();
        const auto taken = now - each->sent_at;
        append_history(*each, "abandoned");
        auto* target_info = context_.cluster.placer.find(each->target);
        if (!target_info)
            continue;
        const auto nominal =
            scaled(each->expected, 1 / each->unexplained_slowdown);
        // A target that leaves some requests unanswered may still answer its
        // probes, which therefore do not reveal the failure.
        const bool overdue = taken > scaled(nominal, overdue_factor);
        if (overdue && !caller_left)
            record_for_rollout(*each, false, taken);
        target_info->on_ended(
            overdue ? health_signal::failed : health_signal::neutral, now);
        if (overdue)
            target_info->on_service_time(taken, nominal, now);
    }
    attempts_.clear();
}

} // namespace vanillapost::router
