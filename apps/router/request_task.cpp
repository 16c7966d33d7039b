#include "request_task.hpp"

#include "vanillapost/src/io/http_message.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;

/// Deadline of a caller that names none, on a route without a time-out.
constexpr duration default_deadline = 30s;
/// How long probes may hold up a request: some round trips to another data
/// centre.
constexpr duration measure_limit = 8ms;
constexpr int max_probe_rounds = 2;
/// A request waits for a slot for this part of its latency objective, then it
/// is put behind others at a target, or refused.
constexpr int waiting_share = 8;
constexpr duration shortest_waiting_limit = 20ms;
/// Slots that other instances free are seen when asked again.
constexpr duration waiting_poll = 10ms;
/// Larger answers are passed on while they arrive; smaller ones are held
/// until they are complete, so that a broken one can be asked for again.
constexpr std::size_t largest_held_answer = 1024 * 1024;
constexpr std::size_t largest_pending_stream = 256 * 1024;
/// A request that may run once goes out on a kept connection only if that
/// was alive so lately.
constexpr duration max_silence_once = 500ms;
constexpr duration max_silence_repeatable = 4s;
/// The target of a request that may be hedged is probed while it works: first
/// after this part of the usual work time, then at shorter intervals, a
/// bounded number of times.
constexpr double first_look = 0.5;
constexpr double look_interval = 0.25;
constexpr duration shortest_look_interval = 25ms;
constexpr int most_looks = 10;
/// A new attempt takes somewhat longer than its work on an idle target.
constexpr double fresh_attempt_factor = 1.1;
/// Share of the repeat budget that hedges leave to repeats after failures.
constexpr double hedge_reserve = 0.25;
/// With less time than this part of the usual work a request is not sent.
constexpr double least_work_share = 0.5;
constexpr duration shortest_retry_after = 150ms;
constexpr duration longest_retry_after = 1s;

/// Part of a log line that tells of the attempts, in bytes.
constexpr std::size_t longest_history = 1200;

constexpr int status_misdirected = 421;
constexpr int status_unavailable = 503;
constexpr int status_bad_gateway = 502;
constexpr int status_gateway_timeout = 504;
constexpr int first_server_error = 500;

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

bool is_connection_header(std::string_view name)
{
    static constexpr std::string_view names[] = {"Connection",
                                                 "Keep-Alive",
                                                 "Transfer-Encoding",
                                                 "TE",
                                                 "Trailer",
                                                 "Upgrade",
                                                 "Proxy-Connection",
                                                 "Expect",
                                                 "Host",
                                                 "Proxy-Authorization",
                                                 "Content-Length"};
    return std::ranges::any_of(names, [&](std::string_view each) {
        return io::same_header_name(each, name);
    });
}

// Whether a `Connection` header names another one as its own.
bool is_listed(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        auto word = list.substr(0, comma);
        while (word.starts_with(' '))
            word.remove_prefix(1);
        while (word.ends_with(' '))
            word.remove_suffix(1);
        if (io::same_header_name(word, name))
            return true;
        list = comma == std::string_view::npos ? std::string_view()
                                               : list.substr(comma + 1);
    }
    return false;
}

std::string format_seconds(duration value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3f",
                  std::chrono::duration<double>(value).count());
    return text;
}

duration scaled(duration value, double factor)
{
    return duration(static_cast<duration::rep>(
        static_cast<double>(value.count()) * factor));
}

} // namespace

request_task::request_task(std::uint64_t number, request_context& context,
                           std::unique_ptr<io::caller_exchange> exchange,
                           io::http_request request, route rule,
                           service_id service)
    : number_(number), context_(context), exchange_(std::move(exchange)),
      request_(std::move(request)), rule_(std::move(rule)),
      service_(std::move(service)),
      ledger_(may_repeat(rule_.kind), rule_.max_attempts),
      arrived_(context.loop.now()), timer_(context.loop, [this] { on_timer(); })
{
}

request_task::~request_task() = default;

void request_task::start()
{
    exchange_->on_gone([this] { on_gone(); });
    read_deadline();
    place();
}

void request_task::read_deadline()
{
    duration limit = default_deadline;
    const auto header = io::find_header(request_.headers,
                                        context_.language.headers.deadline_ms);
    if (header) {
        std::int64_t ms = 0;
        const auto* end = header->data() + header->size();
        const auto result = std::from_chars(header->data(), end, ms);
        if (result.ec == std::errc() && ms >= 0)
            limit = std::chrono::milliseconds(ms);
    }
    const auto waited = context_.statistics.waited(rule_, limit);
    if (rule_.timeout > duration::zero())
        limit = std::min(limit, rule_.timeout);
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
        give_up(status_gateway_timeout, "too little time is left",
                shortest_retry_after);
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
    const auto* full = std::get_if<no_room>(&decision);
    wait_for_slot(full ? full->until_room : shortest_retry_after);
}

void request_task::wait_for_slot(duration until_room)
{
    const auto now = context_.loop.now();
    const bool hopeless = context_.known.placer.usable_targets(service_) == 0;
    if (hopeless || now >= arrived_ + waiting_limit()) {
        give_up(status_bad_gateway,
                hopeless ? "no target can be used" : "all targets are full",
                until_room);
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
        place();
}

void request_task::send(const place_on& place, bool hedge)
{
    const auto now = context_.loop.now();
    const auto* record = context_.known.targets.find(place.target);
    auto* about = context_.known.placer.find(place.target);
    if (!record || !about) {
        wait_for_slot(shortest_retry_after);
        return;
    }
    auto made = std::make_unique<attempt>();
    made->target = place.target;
    made->sent_at = now;
    made->expected = place.expected;
    made->slowness = about->slowness(now);
    made->load = about->load(now);
    made->report_age = about->report_age(now);
    io::target_call_request request;
    request.bytes = format_request(*record, now);
    request.id = attempt_id();
    request.head_only = request_.method == "HEAD";
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
            now + scaled(context_.statistics.expected_work(rule_), first_look);
}

duration request_task::watch_interval() const
{
    return std::max(
        scaled(context_.statistics.expected_work(rule_), look_interval),
        shortest_look_interval);
}

std::string request_task::attempt_id() const
{
    return std::string(
        io::find_header(request_.headers, context_.language.headers.attempt_id)
            .value_or(""));
}

std::string request_task::format_request(const listed_target& target,
                                         time_point now) const
{
    const auto& names = context_.language.headers;
    const auto own = io::find_header(request_.headers, "Connection");
    std::string text =
        request_.method + ' ' + request_.target + " HTTP/1.1\r\nHost: ";
    text += io::find_header(request_.headers, "Host").value_or(target.address);
    text += "\r\n";
    for (const auto& field : request_.headers) {
        const bool replaced =
            io::same_header_name(field.name, names.deadline_ms) ||
            io::same_header_name(field.name, names.target_instance);
        if (replaced || is_connection_header(field.name) ||
            (own && is_listed(*own, field.name)))
            continue;
        text += field.name + ": " + field.value + "\r\n";
    }
    const auto left = std::max<std::int64_t>(to_ms(deadline_ - now), 1);
    text += names.deadline_ms + ": " + std::to_string(left) + "\r\n";
    text += names.target_instance + ": " + target.id.value + "\r\n";
    const bool has_length =
        io::find_header(request_.headers, "Content-Length").has_value() ||
        !request_.body.empty();
    if (has_length)
        text +=
            "Content-Length: " + std::to_string(request_.body.size()) + "\r\n";
    text += "\r\n";
    text += request_.body;
    return text;
}

io::target_call_handlers request_task::make_handlers(attempt& made)
{
    io::target_call_handlers handlers;
    handlers.on_head = [this, &made](io::target_answer_head&& head) {
        take_head(made, std::move(head));
    };
    handlers.on_data = [this, &made](std::string_view data) {
        take_data(made, data);
    };
    handlers.on_done = [this, &made] { take_end(made); };
    handlers.on_failure = [this, &made](const io::target_failure& failure) {
        take_failure(made, failure);
    };
    return handlers;
}

void request_task::take_head(attempt& from, io::target_answer_head&& head)
{
    from.head = std::move(head);
    if (from.head.length.value_or(0) > largest_held_answer)
        begin_streaming(from);
}

void request_task::take_data(attempt& from, std::string_view data)
{
    if (from.streaming) {
        exchange_->write(data);
        if (exchange_->pending_bytes() > largest_pending_stream) {
            from.call->pause();
            retry_place_at_ = context_.loop.now() + waiting_poll;
            arm_timer();
        }
        return;
    }
    from.body.append(data);
    if (from.body.size() > largest_held_answer)
        begin_streaming(from);
}

// Only an answer that would be delivered whole; others stay held.
void request_task::begin_streaming(attempt& from)
{
    const auto outcome = judge(from);
    const bool deliverable =
        std::holds_alternative<attempt_answered>(outcome) &&
        is_success(from.head.status);
    if (!deliverable)
        return;
    from.streaming = true;
    exchange_->begin(from.head.status, from.head.headers, from.head.length);
    exchange_->write(from.body);
    from.body.clear();
    watch_at_ = time_point::max();
    // What this answer began, no other can complete.
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

attempt_outcome request_task::judge(const attempt& ended) const
{
    const auto& names = context_.language.headers;
    const auto& head = ended.head;
    const auto has = [&](const std::string& name) {
        return io::find_header(head.headers, name).has_value();
    };
    if (has(names.not_executed))
        return attempt_refused{head.status};
    const bool sealed = has(names.seal);
    if (head.status == status_misdirected && !sealed)
        return attempt_misdirected{};
    if (!sealed)
        return attempt_lost{"status " + std::to_string(head.status) +
                            " without the target's proof"};
    if (has("Content-Encoding"))
        return attempt_lost{"an encoded body that was not asked for"};
    return attempt_answered{head.status};
}

void request_task::take_end(attempt& from)
{
    proceed(from, judge(from));
}

void request_task::take_failure(attempt& from,
                                const io::target_failure& failure)
{
    if (!failure.sent)
        proceed(from, attempt_not_sent{failure.reason});
    else
        proceed(from, attempt_lost{failure.reason});
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
    follow(step, std::move(taken), vanillapost::describe(outcome));
}

void request_task::follow(const attempt_step& step,
                          std::unique_ptr<attempt> ended,
                          const std::string& outcome)
{
    if (std::holds_alternative<step_deliver>(step)) {
        deliver(*ended);
        return;
    }
    tried_.push_back(ended->target);
    const bool answered =
        ended->head.status >= first_server_error &&
        io::find_header(ended->head.headers, context_.language.headers.seal);
    if (answered)
        fallback_ = std::move(ended);
    if (std::holds_alternative<step_wait>(step))
        return;
    if (std::holds_alternative<step_repeat>(step))
        repeat();
    else
        give_up(status_bad_gateway, outcome, shortest_retry_after);
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
    const auto header =
        io::find_header(from.head.headers, context_.language.headers.load);
    const auto report =
        header ? context_.language.read_load(*header) : std::nullopt;
    auto* about = context_.known.placer.find(from.target);
    if (report && about)
        about->on_report(*report, false, context_.loop.now());
}

// What was known of the target decides the attempt, so it goes beside its end.
void request_task::note_history(const attempt& ended, std::string_view outcome)
{
    char known[96];
    std::snprintf(known, sizeof known,
                  " [expected %lldms, load %.1f, report %lldms old]",
                  static_cast<long long>(to_ms(ended.expected)), ended.load,
                  static_cast<long long>(
                      std::min<std::int64_t>(to_ms(ended.report_age), 99'999)));
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

void request_task::deliver(attempt& from)
{
    const auto& names = context_.language.headers;
    io::header_list headers;
    for (auto& field : from.head.headers)
        if (!io::same_header_name(field.name, names.load))
            headers.push_back(std::move(field));
    const bool in_time =
        rule_.latency_objective == duration::zero() ||
        context_.loop.now() - arrived_ <= rule_.latency_objective;
    const auto result = from.head.status >= first_server_error
                            ? request_result::failed
                        : in_time ? request_result::good
                                  : request_result::slow;
    exchange_->reply(from.head.status, headers, from.body);
    finish(result, from.head.status, "answered");
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
        about->on_ended(attempt_verdict::neutral, now);
        const auto plain = scaled(each->expected, 1 / each->slowness);
        if (taken > 2 * plain)
            about->on_service_time(taken, plain, now);
    }
    attempts_.clear();
}

void request_task::give_up(int failure_status, std::string_view reason,
                           duration retry_after)
{
    abandon_attempts();
    if (fallback_) {
        auto answer = std::move(fallback_);
        deliver(*answer);
        return;
    }
    if (std::holds_alternative<step_refuse>(ledger_.give_up()))
        refuse(reason, retry_after);
    else
        fail(failure_status, reason);
}

// Spread at random, so that callers do not come back together.
void request_task::refuse(std::string_view reason, duration retry_after)
{
    retry_after =
        std::clamp(retry_after, shortest_retry_after, longest_retry_after);
    const double draw = static_cast<double>(context_.random()) /
                        static_cast<double>(random_engine::max());
    retry_after = scaled(retry_after, 0.5 + draw);
    exchange_->reply(status_unavailable,
                     {{"Retry-After", format_seconds(retry_after)},
                      {"Content-Type", "text/plain"}},
                     std::string(reason) + "\n");
    finish(request_result::refused, status_unavailable, reason);
}

void request_task::fail(int status, std::string_view reason)
{
    exchange_->reply(status, {{"Content-Type", "text/plain"}},
                     std::string(reason) + "\n");
    finish(request_result::failed, status, reason);
}

void request_task::finish(request_result result, int status,
                          std::string_view reason)
{
    if (!attempts_.empty())
        abandon_attempts();
    state_ = stage::ended;
    timer_.cancel();
    const auto now = context_.loop.now();
    context_.metrics.count_request(service_, result, now - arrived_);
    const bool unusual =
        result == request_result::refused || result == request_result::failed;
    context_.log.request(
        unusual ? io::log_level::warning : io::log_level::info, "request_ended",
        {{"request_id", attempt_id()},
         {"route", rule_.name},
         {"service", service_.value},
         {"configuration",
          std::to_string(context_.known.routes().config().version)},
         {"result", std::string(to_string(result))},
         {"status", std::to_string(status)},
         {"reason", std::string(reason)},
         {"taken_ms", std::to_string(to_ms(now - arrived_))},
         {"deadline_ms", std::to_string(to_ms(deadline_ - arrived_))},
         {"attempts", history_.substr(0, longest_history)}});
    exchange_.reset();
    context_.ended(*this);
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
        ++looks_ <= most_looks && ledger_.may_start() &&
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
        give_up(status_gateway_timeout, "no answer in time",
                shortest_retry_after);
        return;
    }
    for (auto& each : attempts_)
        if (each->streaming &&
            exchange_->pending_bytes() <= largest_pending_stream)
            each->call->resume();
    if (state_ == stage::measuring && now >= measure_until_)
        place();
    else if (state_ == stage::waiting && now >= retry_place_at_)
        place();
    else if (state_ == stage::running && now >= watch_at_)
        watch();
    if (state_ != stage::ended)
        arm_timer();
}

void request_task::arm_timer()
{
    auto next = deadline_;
    const bool streaming = std::ranges::any_of(
        attempts_, [](const auto& each) { return each->streaming; });
    if (state_ == stage::measuring)
        next = std::min(next, measure_until_);
    else if (state_ == stage::waiting || streaming)
        next = std::min(next, retry_place_at_);
    else if (state_ == stage::running)
        next = std::min(next, watch_at_);
    const auto now = context_.loop.now();
    timer_.start_once(std::max(next - now, duration(100)));
}

} // namespace vanillapost::router
