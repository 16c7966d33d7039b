#include "request_task.hpp"

#include "request_limits.hpp"

#include <algorithm>

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;

constexpr duration longest_retry_after = 1s;
/// Part of a log line that tells of the attempts, in bytes.
constexpr std::size_t longest_history = 1200;

std::string format_seconds(duration value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3f",
                  std::chrono::duration<double>(value).count());
    return text;
}

} // namespace

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

} // namespace vanillapost::router
