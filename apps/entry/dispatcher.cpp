#include "dispatcher.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace vanillapost::entry {

namespace {

using std::chrono::milliseconds;

/// Peers that may turn out to be full before a call waits in the queue.
constexpr int most_full_peers = 2;

std::string_view priority_name(request_class kind)
{
    switch (kind) {
    case request_class::booking:
        return "booking";
    case request_class::lookup:
        return "lookup";
    case request_class::download:
        return "download";
    }
    return "lookup";
}

std::string ms_text(duration value)
{
    return std::to_string(std::chrono::floor<milliseconds>(value).count());
}

} // namespace

dispatcher::dispatcher(io::event_loop& loop, const entry_settings& settings,
                       target_controller& targets, peer_controller& peers,
                       entry_metrics& metrics, attempt_events events)
    : loop_(loop), settings_(settings), targets_(targets), peers_(peers),
      metrics_(metrics), events_(std::move(events))
{
}

bool dispatcher::dispatch(call& request, std::string_view kind, duration wait)
{
    auto place = find_place(request, wait);
    if (!place)
        return false;
    attempt made;
    made.number = ++request.last_attempt;
    made.started = loop_.now();
    made.hedge = kind == "hedge";
    made.deadline = request.facts.deadline;
    if (const auto* target = std::get_if<target_place>(&*place)) {
        made.deadline = target->ticket.deadline;
        request.tried_targets.push_back(target->target);
    } else {
        const auto& peer = std::get<peer_place>(*place).peer;
        request.tried_peers.push_back(peer);
        peers_.on_forward(peer, request.service);
        kind = "forward";
    }
    made.where = std::move(*place);
    metrics_.count_attempt(request.service, kind);
    request.dispatched = true;
    ++request.facts.attempts;
    request.attempts.push_back(std::move(made));
    send(request, request.attempts.back());
    return true;
}

std::optional<call_place> dispatcher::find_place(const call& request,
                                                 duration wait)
{
    if (auto target = place_on_target(request))
        return call_place(std::move(*target));
    if (auto peer = place_on_peer(request))
        return call_place(peer_place{std::move(*peer)});
    if (auto target =
            targets_.place_on_slow(request.service, request.facts.deadline,
                                   request.tried_targets, wait))
        return call_place(std::move(*target));
    return std::nullopt;
}

std::optional<target_place> dispatcher::place_on_target(const call& request)
{
    const auto deadline = request.facts.deadline;
    auto place =
        targets_.place(request.service, deadline, request.tried_targets);
    // A target that was tried before is better than none, but for a hedge.
    if (!place && request.attempts.empty() && !request.tried_targets.empty())
        place = targets_.place(request.service, deadline, {});
    return place;
}

std::optional<entry_id> dispatcher::place_on_peer(const call& request)
{
    const bool may_forward = request.forwarded_by.empty() &&
                             settings_.placement == placement_kind::holds &&
                             request.full_peers < most_full_peers;
    if (!may_forward)
        return std::nullopt;
    auto peer = peers_.pick(request.service, request.tried_peers);
    if (!peer || !peers_.client(*peer))
        return std::nullopt;
    return peer;
}

bool dispatcher::has_place(const service_id& service)
{
    return targets_.has_free_slot(service) ||
           (settings_.placement == placement_kind::holds &&
            peers_.pick(service, {}));
}

io::http_request dispatcher::request_for(const call& request,
                                         const attempt& sent)
{
    auto out = request.request;
    auto& headers = out.headers;
    headers.push_back({"Request-Id", request.request_id});
    const auto left = sent.deadline - loop_.now();
    int depth = request.facts.call_depth;
    if (std::holds_alternative<peer_place>(sent.where)) {
        out.target = "/v1/call/" + request.service.value + out.target;
        headers.push_back({"Deadline-Ms", ms_text(left)});
        headers.push_back({"Forwarded-By", settings_.name.value});
    } else {
        const auto at =
            loop_.unix_ms() + std::chrono::floor<milliseconds>(left).count();
        headers.push_back({"Deadline", std::to_string(at)});
        headers.push_back(
            {"Priority", std::string(priority_name(request.facts.kind))});
        ++depth;
    }
    headers.push_back({"Call-Depth", std::to_string(depth)});
    return out;
}

void dispatcher::send(call& request, attempt& sent)
{
    io::http_client* client = nullptr;
    if (const auto* target = std::get_if<target_place>(&sent.where))
        client = &targets_.client(target->target);
    else
        client = peers_.client(std::get<peer_place>(sent.where).peer);
    assert(client);
    const auto timeout =
        std::max(sent.deadline - loop_.now(), duration(milliseconds(1)));
    sent.io = client->start(request_for(request, sent),
                            handlers_for(request, sent), timeout);
}

io::call_handlers dispatcher::handlers_for(const call& request,
                                           const attempt& sent)
{
    const auto call_number = request.number;
    const auto number = sent.number;
    io::call_handlers handlers;
    handlers.on_headers = [=, this](int status, auto headers) {
        events_.on_headers(call_number, number, status, headers);
    };
    handlers.on_data = [=, this](std::string_view data) {
        events_.on_data(call_number, number, data);
    };
    handlers.on_done = [=, this] { events_.on_done(call_number, number); };
    handlers.on_failure = [=, this](const io::call_failure& failure) {
        events_.on_failure(call_number, number, failure);
    };
    return handlers;
}

attempt dispatcher::end(call& request, std::uint64_t number,
                        const target_answer& how)
{
    const auto found =
        std::find_if(request.attempts.begin(), request.attempts.end(),
                     [&](const auto& each) { return each.number == number; });
    assert(found != request.attempts.end());
    attempt ended = std::move(*found);
    request.attempts.erase(found);
    if (const auto* target = std::get_if<target_place>(&ended.where))
        targets_.finish(*target, how);
    retire(std::move(ended.io));
    return ended;
}

void dispatcher::cancel(call& request, std::uint64_t number)
{
    const auto found =
        std::find_if(request.attempts.begin(), request.attempts.end(),
                     [&](const auto& each) { return each.number == number; });
    assert(found != request.attempts.end());
    found->io->cancel();
    end(request, number, {.how = completion::cancelled});
}

void dispatcher::retire(std::unique_ptr<io::http_call> ended)
{
    if (retired_.empty())
        loop_.post([this] { std::exchange(retired_, {}); });
    retired_.push_back(std::move(ended));
}

} // namespace vanillapost::entry
