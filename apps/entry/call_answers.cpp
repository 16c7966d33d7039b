#include "call_engine.hpp"

#include "answer_relay.hpp"
#include "attempt_judge.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

// What follows the answers to attempts; the way of a call up to its dispatch
// and its end are in call_engine.cpp.

namespace vanillapost::entry {

namespace {

constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

} // namespace

void call_engine::on_headers(std::uint64_t number, std::uint64_t attempt_number,
                             int status,
                             std::span<const io::header_field> headers)
{
    auto* request = find(number);
    auto* from = request ? find(*request, attempt_number) : nullptr;
    if (!from)
        return;
    from->status = status;
    from->headers.assign(headers.begin(), headers.end());
    from->latency = parts_.loop.now() - from->started;
    from->state = parse_target_state(
        io::find_header(headers, "Target-State").value_or(""));
    const bool refused = status == status_unavailable;
    from->not_run = refused && io::find_header(headers, "Not-Run") &&
                    std::holds_alternative<target_place>(from->where);
    from->not_placed = refused && io::find_header(headers, "Not-Placed") &&
                       std::holds_alternative<peer_place>(from->where);
    if (!from->not_run && !from->not_placed)
        choose_winner(*request, *from);
}

void call_engine::choose_winner(call& request, attempt& from)
{
    auto& answer = request.answer;
    if (answer.winner != 0)
        return;
    if (answer.streaming && !continues(request, from)) {
        break_off(request);
        return;
    }
    answer.winner = from.number;
    const auto winner = from.number;
    std::vector<std::uint64_t> losers;
    for (const auto& each : request.attempts) {
        if (each.number != winner)
            losers.push_back(each.number);
    }
    for (const auto loser : losers) {
        cancel(request, loser);
    }
    auto* kept = find(request, winner);
    if (!answer.streaming && request.exchange && !request.claim &&
        has_to_stream(request, *kept))
        start_streaming(request, *kept);
}

void call_engine::on_data(std::uint64_t number, std::uint64_t attempt_number,
                          std::string_view data)
{
    auto* request = find(number);
    auto* from = request ? find(*request, attempt_number) : nullptr;
    if (!from || request->answer.winner != attempt_number)
        return;
    if (request->answer.streaming) {
        relay(*request, *from, data);
        return;
    }
    from->body += data;
    if (request->exchange && has_to_stream(*request, *from))
        start_streaming(*request, *from);
}

void call_engine::on_done(std::uint64_t number, std::uint64_t attempt_number)
{
    auto* request = find(number);
    auto* from = request ? find(*request, attempt_number) : nullptr;
    if (!from)
        return;
    auto ended = end_attempt(*request, attempt_number, judge_answer(*from));
    add_free_slots(*request, ended);
    if (ended.not_placed)
        on_not_placed(*request, ended);
    else if (ended.not_run)
        on_failed_attempt(*request, ended, {.ran = run_state::no},
                          status_unavailable, "the target refused it");
    else
        on_whole_answer(*request, ended);
    pump();
}

void call_engine::on_failure(std::uint64_t number, std::uint64_t attempt_number,
                             const io::call_failure& failure)
{
    auto* request = find(number);
    auto* from = request ? find(*request, attempt_number) : nullptr;
    if (!from)
        return;
    const auto age = parts_.loop.now() - from->started;
    const auto ended =
        end_attempt(*request, attempt_number, judge_failure(failure.kind, age));
    if (const auto* peer = std::get_if<peer_place>(&ended.where))
        parts_.peers.on_result(peer->peer, request->service,
                               forward_result::failed);
    const auto ran = failure.sent ? run_state::maybe : run_state::no;
    const int status = failure.kind == io::call_failure_kind::timeout
                           ? status_gateway_timeout
                           : status_bad_gateway;
    on_failed_attempt(*request, ended, {.ran = ran}, status, failure.what);
    pump();
}

attempt call_engine::end_attempt(call& request, std::uint64_t number,
                                 const target_answer& how)
{
    const auto now = parts_.loop.now();
    auto ended = dispatcher_.end(request, number, how);
    const bool ran = how.how == completion::good || how.how == completion::slow;
    if (own(request) && ran)
        queue_.on_completion(request.service, now, now - ended.started);
    else if (own(request))
        queue_.on_cancelled(request.service);
    if (const auto* target = std::get_if<target_place>(&ended.where)) {
        if (ended.status != 0)
            parts_.probes.on_traffic(target->target);
    }
    return ended;
}

void call_engine::on_whole_answer(call& request, const attempt& from)
{
    if (const auto* peer = std::get_if<peer_place>(&from.where)) {
        parts_.peers.on_result(peer->peer, request.service,
                               forward_result::placed);
        take_free_slots(request, from);
    }
    const auto now = parts_.loop.now();
    if (from.status < 500) {
        auto& state = state_of(request.service);
        state.budget.on_success();
        state.hedging.observe(now - from.started);
    }
    if (request.claim)
        store_outcome(request, from);
    if (request.answer.streaming) {
        if (request.exchange)
            request.exchange->finish();
    } else {
        reply_buffered(request, from);
    }
    const bool late = now - request.arrived > request.objective;
    count(request, from.status >= 500 ? request_result::failed
                   : late             ? request_result::slow
                                      : request_result::good);
    finish(request);
}

void call_engine::take_free_slots(const call& request, const attempt& from)
{
    const auto text = io::find_header(from.headers, "Free-Slots");
    int free = 0;
    if (!text ||
        std::from_chars(text->data(), text->data() + text->size(), free).ec !=
            std::errc())
        return;
    parts_.peers.on_free_slots(std::get<peer_place>(from.where).peer,
                               request.service, free);
}

/// Tells the entry that forwarded the request what else it could send.
void call_engine::add_free_slots(const call& request, attempt& from)
{
    if (request.forwarded_by.empty())
        return;
    const int waiting = static_cast<int>(queue_.waiting(request.service));
    const int free = parts_.targets.free_slots(request.service) - waiting;
    from.headers.push_back({"Free-Slots", std::to_string(std::max(0, free))});
}

void call_engine::store_outcome(call& request, const attempt& from)
{
    stored_outcome outcome{.status = from.status, .headers = {}, .body = {}};
    outcome.body_kept = from.body.size() <= max_kept_body_bytes;
    if (outcome.body_kept)
        outcome.body = from.body;
    const auto type = io::find_header(from.headers, "Content-Type");
    if (type)
        outcome.headers.emplace_back("Content-Type", *type);
    request.claim->on_outcome(outcome);
}

void call_engine::on_not_placed(call& request, const attempt& from)
{
    const auto& peer = std::get<peer_place>(from.where).peer;
    parts_.peers.on_result(peer, request.service, forward_result::full);
    // It never reached a target, so that it does not count as an attempt.
    --request.facts.attempts;
    ++request.full_peers;
    if (request.attempts.empty() && !request.finished)
        place_or_queue(request);
}

void call_engine::on_failed_attempt(call& request, const attempt& from,
                                    const attempt_failure& failure, int status,
                                    std::string_view detail)
{
    if (request.answer.winner == from.number)
        request.answer.winner = 0;
    request.ran = std::max(request.ran, failure.ran);
    const bool other_attempt_runs = !request.attempts.empty();
    if (request.finished || other_attempt_runs)
        return;
    if (request.answer.streaming) {
        if (!can_resume(request)) {
            break_off(request);
            return;
        }
        ask_for_rest(request);
    }
    const auto decision = decide_retry(
        failure, request.facts, parts_.loop.now(), retry_settings{},
        state_of(request.service).budget, parts_.random);
    io::log(io::log_level::debug, detail,
            {{"step", "dispatch"}, {"request_id", request.request_id}});
    if (const auto* again = std::get_if<retry_at>(&decision))
        schedule_retry(request, again->at);
    else
        give_final_answer(request, std::get<give_up>(decision), status, detail);
}

void call_engine::give_final_answer(call& request, const give_up& decision,
                                    int status, std::string_view detail)
{
    if (request.answer.streaming) {
        break_off(request);
        return;
    }
    const auto ran = std::max(request.ran, decision.ran);
    if (request.claim)
        request.claim->on_failure(ran);
    refuse(request, {.status = status,
                     .detail = std::string(detail),
                     .step = "dispatch",
                     .ran = ran_of(ran),
                     .retry_after = decision.retry_after});
}

void call_engine::break_off(call& request)
{
    // Closes the connection, so that the caller sees a broken answer.
    request.exchange.reset();
    count(request, request_result::failed);
    finish(request);
}

} // namespace vanillapost::entry
