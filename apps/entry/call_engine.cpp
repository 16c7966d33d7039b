#include "call_engine.hpp"

#include "answer_relay.hpp"
#include "attempt_judge.hpp"
#include "request_filters.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace vanillapost::entry {

namespace {

constexpr int status_unavailable = 503;
constexpr std::size_t max_request_id_bytes = 128;

} // namespace

call_engine::call_engine(const call_engine_parts& parts)
    : parts_(parts),
      dispatcher_(
          parts.loop, parts.settings, parts.targets, parts.peers, parts.metrics,
          {[this](auto... args) { on_headers(args...); },
           [this](auto... args) { on_data(args...); },
           [this](auto... args) { on_done(args...); },
           [this](auto number, auto attempt_number, const auto& failure) {
               on_failure(number, attempt_number, failure);
           }}),
      claim_prefix_(parts.self.name.value + "/" + parts.self.incarnation + "/"),
      expiry_timer_(parts.loop, [this] { expire_queued(); })
{
}

void call_engine::on_records()
{
    for (const auto& [name, service] : parts_.records.services())
        queue_.configure(service);
    pump();
}

call_engine::service_state& call_engine::state_of(const service_id& service)
{
    return services_[service];
}

call* call_engine::find(std::uint64_t number)
{
    const auto found = calls_.find(number);
    return found == calls_.end() ? nullptr : found->second.get();
}

attempt* call_engine::find(call& request, std::uint64_t number)
{
    for (auto& each : request.attempts) {
        if (each.number == number)
            return &each;
    }
    return nullptr;
}

void call_engine::accept(std::unique_ptr<io::server_exchange> exchange)
{
    auto made = std::make_unique<call>();
    auto& request = *made;
    request.number = ++last_call_;
    request.arrived = parts_.loop.now();
    const auto id = io::find_header(exchange->headers(), "Request-Id");
    request.request_id = id && id->size() <= max_request_id_bytes
                             ? std::string(*id)
                             : claim_prefix_ + std::to_string(request.number);
    request.exchange = std::move(exchange);
    request.exchange->on_abort(
        [this, number = request.number] { on_caller_gone(number); });
    calls_.emplace(request.number, std::move(made));
    if (auto why = run_filters(request,
                               {parts_.records, parts_.peers, request.arrived}))
        refuse(request, *why);
    else
        start(request);
}

void call_engine::start(call& request)
{
    if (request.idempotency_key.empty())
        place_or_queue(request);
    else
        start_claim(request);
}

void call_engine::start_claim(call& request)
{
    const auto number = request.number;
    const auto with_call = [this, number](auto&& action) {
        if (auto* found = find(number))
            action(*found);
    };
    claim_handlers handlers;
    handlers.dispatch = [=, this] {
        with_call([this](call& each) { place_or_queue(each); });
    };
    handlers.answer = [=, this](const stored_outcome& outcome) {
        with_call([&, this](call& each) {
            attempt stored;
            stored.status = outcome.status;
            stored.body = outcome.body;
            for (const auto& [name, value] : outcome.headers)
                stored.headers.push_back({name, value});
            reply_buffered(each, stored);
            count(each, request_result::good);
            finish(each);
        });
    };
    handlers.refuse = [=, this](const refuse_claim& why) {
        with_call([&, this](call& each) {
            std::optional<duration> wait;
            if (why.retry_after > duration(0))
                wait = why.retry_after;
            refuse(each, {.status = why.status,
                          .detail = why.detail,
                          .step = "idempotency",
                          .ran = ran_of(why.ran),
                          .retry_after = wait});
        });
    };
    handlers.finished = [=, this] {
        with_call([this](call& each) { remove_if_over(each); });
    };
    const auto& sent = request.request;
    request.claim = std::make_unique<claim_driver>(
        parts_.loop, parts_.platform,
        claim_request{.service = request.service,
                      .key = request.idempotency_key,
                      .digest =
                          digest_request(sent.method, sent.target, sent.body),
                      .self = parts_.self,
                      .write_id = claim_prefix_ + std::to_string(number),
                      .deadline = request.facts.deadline,
                      .repeat = request.facts.caller_attempt > 0},
        [this](const entry_incarnation& who) {
            return parts_.members.ended_since(who).has_value();
        },
        std::move(handlers));
    request.claim->start();
}

bool call_engine::dispatch(call& request, std::string_view kind)
{
    const auto wait = queue_.expected_wait(request.service);
    if (!dispatcher_.dispatch(request, kind, wait))
        return false;
    if (own(request))
        queue_.on_start(request.service);
    return true;
}

/// Whether the request came from a caller. What peers forward says nothing of
/// how fast the queue here drains.
bool call_engine::own(const call& request) const
{
    return request.forwarded_by.empty();
}

void call_engine::cancel(call& request, std::uint64_t number)
{
    dispatcher_.cancel(request, number);
    if (own(request))
        queue_.on_cancelled(request.service);
}

void call_engine::place_or_queue(call& request)
{
    // Those that wait come first.
    const bool others_wait = queue_.waiting(request.service) > 0;
    const auto kind = request.facts.attempts == 0 ? "first" : "retry";
    if (!others_wait && dispatch(request, kind)) {
        arm_hedge(request);
    } else if (!request.forwarded_by.empty() && request.ran == run_state::no) {
        const io::header_field full{"Not-Placed", "full"};
        if (request.exchange)
            request.exchange->reply(status_unavailable, {&full, 1}, "");
        finish(request);
    } else {
        enqueue(request);
    }
}

void call_engine::enqueue(call& request)
{
    const auto result = queue_.offer({.id = request.number,
                                      .service = request.service,
                                      .kind = request.facts.kind,
                                      .deadline = request.facts.deadline},
                                     parts_.loop.now());
    for (const auto& displaced : result.displaced)
        refuse_queued(displaced);
    if (const auto* refused = std::get_if<refused_request>(&result.verdict)) {
        refuse_queued(*refused);
        return;
    }
    request.queued = true;
    arm_expiry();
}

void call_engine::arm_expiry()
{
    if (const auto at = queue_.next_expiry())
        expiry_timer_.start_once(
            std::max(*at - parts_.loop.now(), duration(0)));
}

void call_engine::expire_queued()
{
    for (const auto& refused : queue_.expire(parts_.loop.now()))
        refuse_queued(refused);
    arm_expiry();
}

std::optional<waiting_request>
call_engine::take_next(const std::set<service_id>& without_place)
{
    std::vector<service_id> can_run;
    for (const auto& [service, record] : parts_.records.services()) {
        if (queue_.waiting(service) > 0 && !without_place.contains(service) &&
            dispatcher_.has_place(service))
            can_run.push_back(service);
    }
    return queue_.take(can_run, parts_.loop.now());
}

void call_engine::pump()
{
    if (queue_.waiting() == 0 || std::exchange(pumping_, true))
        return;
    for (const auto& refused : queue_.expire(parts_.loop.now()))
        refuse_queued(refused);
    std::set<service_id> without_place;
    for (auto next = take_next(without_place); next;
         next = take_next(without_place)) {
        auto* request = find(next->id);
        if (!request)
            continue;
        request->queued = false;
        request->full_peers = 0;
        request->tried_peers.clear();
        if (dispatch(*request, "first")) {
            arm_hedge(*request);
            continue;
        }
        queue_.put_back(*next);
        request->queued = true;
        without_place.insert(next->service);
    }
    pumping_ = false;
    arm_expiry();
}

void call_engine::arm_hedge(call& request)
{
    const auto at = state_of(request.service)
                        .hedging.hedge_at(request.facts, parts_.loop.now());
    if (!at || !request.forwarded_by.empty())
        return;
    request.timer.emplace(
        parts_.loop, [this, number = request.number] { on_hedge(number); });
    request.timer->start_once(std::max(*at - parts_.loop.now(), duration(0)));
}

void call_engine::on_hedge(std::uint64_t number)
{
    auto* request = find(number);
    const bool waits = request && request->attempts.size() == 1 &&
                       request->answer.winner == 0 && !request->finished;
    if (!waits || queue_.waiting(request->service) > 0)
        return;
    auto& state = state_of(request->service);
    if (!state.hedging.try_hedge(request->facts, parts_.loop.now(),
                                 state.budget))
        return;
    if (!dispatch(*request, "hedge"))
        state.budget.refund();
}

void call_engine::schedule_retry(call& request, time_point at)
{
    request.timer.emplace(
        parts_.loop, [this, number = request.number] { on_retry(number); });
    request.timer->start_once(std::max(at - parts_.loop.now(), duration(0)));
}

void call_engine::on_retry(std::uint64_t number)
{
    auto* request = find(number);
    if (!request || request->finished)
        return;
    if (!request->answer.streaming) {
        place_or_queue(*request);
        return;
    }
    // The rest of an answer goes ahead of those that have had nothing yet.
    if (!dispatch(*request, "retry"))
        break_off(*request);
}

void call_engine::on_caller_gone(std::uint64_t number)
{
    auto* request = find(number);
    if (!request || request->finished)
        return;
    request->exchange.reset();
    const bool runs_on = request->dispatched && !request->facts.idempotent();
    if (runs_on && !request->attempts.empty())
        return; // its outcome is worth knowing
    if (request->claim && !request->dispatched)
        request->claim->on_cancelled();
    finish(*request);
}

void call_engine::refuse(call& request, const problem& why)
{
    if (request.finished)
        return;
    if (request.exchange)
        reply_problem(*request.exchange, why, request.request_id);
    count(request, why.ran == ran_state::no ? request_result::refused
                                            : request_result::failed);
    finish(request);
}

void call_engine::refuse_queued(const refused_request& refused)
{
    auto* request = find(refused.request.id);
    if (!request)
        return;
    request->queued = false;
    if (request->claim)
        request->claim->on_failure(request->ran);
    refuse(*request, {.status = status_of(refused.reason),
                      .detail = std::string(detail_of(refused.reason)),
                      .step = "admission",
                      .ran = ran_of(request->ran),
                      .retry_after = refused.retry_after});
}

void call_engine::count(const call& request, request_result result)
{
    // The entry that forwarded the request counts it.
    if (request.forwarded_by.empty() && parts_.records.find(request.service))
        parts_.metrics.count_request(request.service, result,
                                     parts_.loop.now() - request.arrived);
}

void call_engine::finish(call& request)
{
    request.finished = true;
    if (std::exchange(request.queued, false))
        queue_.remove(request.service, request.number);
    while (!request.attempts.empty()) {
        cancel(request, request.attempts.front().number);
    }
    if (request.timer)
        request.timer->cancel();
    remove_if_over(request);
}

void call_engine::remove_if_over(call& request)
{
    const bool claim_open = request.claim && !request.claim->finished();
    if (!request.finished || claim_open)
        return;
    const auto found = calls_.find(request.number);
    if (found == calls_.end())
        return;
    if (ended_.empty())
        parts_.loop.post([this] { std::exchange(ended_, {}); });
    ended_.push_back(std::move(found->second));
    calls_.erase(found);
}

} // namespace vanillapost::entry
