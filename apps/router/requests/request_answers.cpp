#include "requests/request_task.hpp"

#include "requests/request_limits.hpp"

#include <algorithm>

namespace vanillapost::router {

namespace {

/// Limit on the part of a log line that describes the attempts.
constexpr std::size_t max_history_bytes = 1200;

} // namespace

void request_task::deliver(attempt& from)
{
    const auto& names = context_.adapter.headers;
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
    if (claimed_)
        store_claimed_answer(from, headers);
    finish(result, from.head.status, "answered");
}

void request_task::store_claimed_answer(const attempt& from,
                                        const io::header_list& headers)
{
    stored_outcome answer;
    answer.status = from.head.status;
    for (const auto& field : headers)
        answer.headers.emplace_back(field.name, field.value);
    answer.body = from.body;
    claimed_result_.answer = std::move(answer);
}

void request_task::give_up(int failure_status, std::string_view reason,
                           const retry_after_estimate& estimate,
                           int refusal_status)
{
    abandon_attempts();
    if (exchange_->has_begun()) {
        // The caller has received part of an answer: closing its connection is
        // the only way left to report the failure.
        finish(request_result::failed, failure_status, reason);
        return;
    }
    if (fallback_) {
        auto answer = std::move(fallback_);
        deliver(*answer);
        return;
    }
    if (std::holds_alternative<step_refuse>(tracker_.give_up()))
        refuse(refusal_status, reason, estimate);
    else
        fail(failure_status, reason);
}

void request_task::refuse(int status, std::string_view reason,
                          const retry_after_estimate& estimate)
{
    problem value;
    value.status = status;
    value.detail = reason;
    value.step = "placement";
    value.retry_after =
        jitter_retry_after(estimate, draw_share(context_.random));
    reply_problem(*exchange_, value, id_, context_.adapter);
    finish(request_result::refused, status, reason);
}

void request_task::fail(int status, std::string_view reason)
{
    problem value;
    value.status = status;
    value.detail = reason;
    value.step = "attempt";
    value.ran = run_state::maybe;
    reply_problem(*exchange_, value, id_, context_.adapter);
    finish(request_result::failed, status, reason);
}

void request_task::answer_internal_error()
{
    constexpr std::string_view reason = "a step of the router failed";
    if (state_ == stage::ended)
        return;
    const bool answered = context_.loop.guard(
        "give up request", id_, [&] { give_up(status_bad_gateway, reason); });
    if (answered || state_ == stage::ended)
        return;
    // Closing the connection is the only way left to report the failure.
    context_.loop.guard("drop request", id_, [&] {
        finish(request_result::failed, status_bad_gateway, reason);
    });
}

void request_task::finish(request_result result, int status,
                          std::string_view reason)
{
    if (!attempts_.empty())
        abandon_attempts();
    state_ = stage::ended;
    claimed_result_.ran =
        tracker_.may_have_run() ? run_state::maybe : run_state::no;
    timer_.cancel();
    const auto now = context_.loop.now();
    context_.metrics.count_request(service_, result, now - arrived_);
    const bool unusual =
        result == request_result::refused || result == request_result::failed;
    context_.log.request(
        unusual ? io::log_level::warning : io::log_level::info, "request_ended",
        {{"request_id", id_},
         {"route", rule_.name},
         {"service", service_.value},
         {"configuration",
          std::to_string(context_.cluster.routes().config().version)},
         {"result", std::string(to_string(result))},
         {"status", std::to_string(status)},
         {"reason", std::string(reason)},
         {"taken_ms", std::to_string(to_ms(now - arrived_))},
         {"deadline_ms", std::to_string(to_ms(deadline_ - arrived_))},
         {"attempts", history_.substr(0, max_history_bytes)}});
    exchange_.reset();
    context_.ended(*this);
}

} // namespace vanillapost::router
