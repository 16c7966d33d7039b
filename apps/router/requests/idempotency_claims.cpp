#include "requests/idempotency_claims.hpp"

#include "requests/request_limits.hpp"

#include <algorithm>

namespace vanillapost::router {

namespace {

entry_incarnation incarnation_of(const member& who)
{
    return {who.name, who.incarnation};
}

} // namespace

idempotency_claims::idempotency_claims(io::event_loop& loop,
                                       io::platform_client& platform,
                                       const cluster_view& cluster,
                                       const platform_adapter& adapter,
                                       router_log& log)
    : loop_(loop), platform_(platform), cluster_(cluster), adapter_(adapter),
      log_(log)
{
}

void idempotency_claims::start(exchange_ptr exchange, incoming_request request)
{
    const auto number = next_number_++;
    auto created = std::make_unique<entry>();
    auto& started = *created;
    started.exchange = std::move(exchange);
    started.request = std::move(request);
    started.claim = std::make_unique<claim_driver>(
        loop_, platform_, make_claim_request(number, started.request),
        [this](const entry_incarnation& who) { return has_ended(who); },
        make_handlers(number));
    started.exchange->on_gone([this, number] {
        const auto found = entries_.find(number);
        if (found == entries_.end())
            return;
        // The claim may already be in the table, so the entry stays until the
        // claim has been released there.
        found->second->claim->on_cancelled();
        found->second->exchange.reset();
    });
    entries_.emplace(number, std::move(created));
    started.claim->start();
}

claim_request
idempotency_claims::make_claim_request(std::uint64_t number,
                                       const incoming_request& request) const
{
    const auto& self = cluster_.members.self();
    const auto& message = request.message;
    claim_request result;
    result.service = request.rule.parts.front().service;
    result.key = request.idempotency_key;
    result.digest =
        digest_request(message.method, message.target, message.body);
    result.self = incarnation_of(self);
    result.write_id =
        self.name.value + "/" + self.incarnation + "/" + std::to_string(number);
    result.deadline =
        request.arrived +
        within_timeout(request.rule,
                       request.time_left.value_or(default_deadline));
    const auto repeat = io::find_header(message.headers, "Retry-Attempt");
    result.repeat = repeat && *repeat != "0";
    return result;
}

claim_handlers idempotency_claims::make_handlers(std::uint64_t number)
{
    claim_handlers handlers;
    handlers.dispatch = [this, number] { dispatch(number); };
    handlers.answer = [this, number](const stored_outcome& outcome) {
        answer(number, outcome);
    };
    handlers.refuse = [this, number](const refuse_request& why) {
        refuse(number, why);
    };
    handlers.finished = [this, number] { finish(number); };
    return handlers;
}

void idempotency_claims::dispatch(std::uint64_t number)
{
    auto& current = *entries_.at(number);
    dispatch_(number, std::move(current.exchange), std::move(current.request));
}

void idempotency_claims::answer(std::uint64_t number,
                                const stored_outcome& outcome)
{
    auto& current = *entries_.at(number);
    log_.request(io::log_level::info, "booking_answered_again",
                 {{"request_id", current.request.id},
                  {"status", std::to_string(outcome.status)}});
    if (!current.exchange)
        return;
    io::header_list headers;
    for (const auto& [name, value] : outcome.headers)
        headers.push_back({name, value});
    current.exchange->reply(outcome.status, headers, outcome.body);
    current.exchange.reset();
}

void idempotency_claims::refuse(std::uint64_t number, const refuse_request& why)
{
    auto& current = *entries_.at(number);
    log_.request(io::log_level::warning, "booking_refused",
                 {{"request_id", current.request.id},
                  {"status", std::to_string(why.status)},
                  {"ran", std::string(to_string(why.ran))},
                  {"reason", why.detail}});
    if (!current.exchange)
        return;
    problem value;
    value.status = why.status;
    value.detail = why.detail;
    value.step = "idempotency";
    value.ran = why.ran;
    if (why.retry_after > duration::zero())
        value.retry_after = why.retry_after;
    reply_problem(*current.exchange, value, current.request.id, adapter_);
    current.exchange.reset();
}

void idempotency_claims::on_ended(std::uint64_t number,
                                  const claimed_result& result)
{
    auto& claim = *entries_.at(number)->claim;
    if (result.answer)
        claim.on_outcome(*result.answer);
    else
        claim.on_failure(result.ran);
}

// A claim that ends is removed from `entries_`, so they are collected first.
void idempotency_claims::limit_answers(time_point latest)
{
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, each] : entries_)
        numbers.push_back(number);
    for (const auto number : numbers)
        entries_.at(number)->claim->limit_answer(latest);
}

// Called by the claim, which is still on the stack: it is destroyed later.
void idempotency_claims::finish(std::uint64_t number)
{
    auto ended = entries_.extract(number);
    loop_.dispose(std::move(ended.mapped()));
}

// Only affects what the caller is told: no instance takes over the claim of
// another one.
bool idempotency_claims::has_ended(const entry_incarnation& who) const
{
    if (who == incarnation_of(cluster_.members.self()))
        return false;
    const auto live = cluster_.members.live_peers(loop_.now());
    return std::ranges::none_of(live, [&](const peer_status& each) {
        return incarnation_of(each.who) == who;
    });
}

} // namespace vanillapost::router
