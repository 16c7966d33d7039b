#include "target_service.hpp"

#include "../common/json_http.hpp"

#include <cmath>
#include <random>

namespace vanillapost::standin {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view control_prefix = "/control/";
constexpr std::size_t max_known_connections = 10'000;
constexpr int status_misdirected = 421;

io::http_server_limits limits_of(const target_settings& settings)
{
    io::http_server_limits limits;
    // Commands come in beside the work.
    constexpr int control_connections = 16;
    limits.max_connections = settings.connections + control_connections;
    return limits;
}

/// Milliseconds until the caller's deadline.
std::int64_t time_left(const io::server_exchange& exchange)
{
    constexpr std::int64_t longest_ms = 3'600'000;
    const auto header = header_or(exchange, "Deadline-Ms", "");
    return std::min(parse_number<std::int64_t>(header).value_or(longest_ms),
                    longest_ms);
}

std::string key_of(const io::server_exchange& exchange)
{
    const auto id = header_or(exchange, "Request-Id", "");
    return header_or(exchange, "Idempotency-Key", id);
}

bool is_report(std::string_view path)
{
    return path == "/health" || path == "/load";
}

} // namespace

target_service::target_service(io::event_loop& loop,
                               const target_settings& settings)
    : loop_(loop), settings_(settings), random_(settings.seed), tasks_(loop),
      waiting_(loop), work_(settings),
      load_timer_(loop, [this] { take_load_snapshot(); }),
      server_(loop, limits_of(settings),
              [this](exchange_ptr exchange) { handle(std::move(exchange)); })
{
    take_load_snapshot();
    take_load_snapshot();
    if (settings_.load_lag > duration(0))
        load_timer_.start_every(settings_.load_lag);
    address_ = server_.listen(io::parse_address(settings_.address));
}

void target_service::handle(exchange_ptr exchange)
{
    if (exchange->path().starts_with(control_prefix)) {
        control(*exchange);
        return;
    }
    auto wait = std::max(frozen_until_ - loop_.now(), duration(0));
    if (connections_.size() > max_known_connections)
        connections_.clear();
    if (connections_.insert(exchange->peer()).second)
        wait += settings_.connection_cost;
    if (wait <= duration(0)) {
        serve(std::move(exchange));
        return;
    }
    const auto id = waiting_.add(std::move(exchange));
    tasks_.after(wait, [this, id] {
        if (auto kept = waiting_.take(id))
            handle(std::move(kept));
    });
}

void target_service::serve(exchange_ptr exchange)
{
    if (is_report(exchange->path())) {
        serve_report(*exchange);
        return;
    }
    if (!refuse(*exchange))
        begin(std::move(exchange));
}

void target_service::serve_report(io::server_exchange& exchange)
{
    work_.count_probe();
    const auto& load =
        settings_.load_lag > duration(0) || stale_load_ ? reported_ : measured_;
    auto headers = answer_headers(exchange);
    headers.push_back({"Target-Name", settings_.name});
    if (exchange.path() == "/load")
        exchange.reply(200, headers, load.dump());
    else
        exchange.reply(200, headers,
                       nlohmann::json{{"state", load["state"]}}.dump());
}

bool target_service::refuse(io::server_exchange& exchange)
{
    if (chance(fail_fast_share_)) {
        work_.count_failed_fast();
        exchange.reply(500, answer_headers(exchange), "{\"error\":\"failed\"}");
        return true;
    }
    if (work_.state() == target_state::draining) {
        work_.count_refused_draining(loop_.unix_ms());
        not_run(exchange, "draining");
        return true;
    }
    const auto wanted = header_or(exchange, "Target-Name", settings_.name);
    if (wanted != settings_.name) {
        exchange.reply(status_misdirected, {}, "{\"error\":\"not me\"}");
        return true;
    }
    if (time_left(exchange) <= 0) {
        work_.count_refused_expired();
        not_run(exchange, "expired");
        return true;
    }
    return false;
}

void target_service::begin(exchange_ptr exchange)
{
    const auto factor =
        work_.start(key_of(*exchange), loop_.now(), loop_.unix_ms());
    if (!factor) {
        not_run(*exchange, "shed");
        return;
    }
    const auto time = draw_service_time();
    const auto left_ms = time_left(*exchange);
    constexpr std::string_view files = "/files/";
    running work;
    work.factor = *factor;
    work.streams = exchange->path().starts_with(files);
    if (work.streams)
        work.file = std::string(exchange->path().substr(files.size()));
    const auto id = waiting_.add(std::move(exchange));
    running_.emplace(id, work);
    waiting_.on_gone(id, [this, id] { cancel(id); });
    running_[id].end =
        tasks_.after(milliseconds(left_ms), [this, id] { expire(id); });
    const auto scaled =
        std::chrono::duration_cast<duration>(time * (*factor * slow_factor_));
    schedule(id, scaled,
             work.streams ? &target_service::begin_file
                          : &target_service::finish);
}

duration target_service::draw_service_time()
{
    const auto& time =
        settings_.times.at(static_cast<std::size_t>(settings_.kind));
    std::lognormal_distribution<double> draw(std::log(time.median_ms + 1e-6),
                                             time.sigma);
    constexpr double microseconds_per_ms = 1000.0;
    return duration(
        static_cast<duration::rep>(draw(random_) * microseconds_per_ms));
}

void target_service::schedule(work_id id, duration delay,
                              void (target_service::*step)(work_id))
{
    running_[id].next = tasks_.after(delay, [this, id, step] {
        if (!running_.contains(id))
            return;
        const auto frozen = frozen_until_ - loop_.now();
        if (frozen > duration(0))
            schedule(id, frozen, step);
        else
            (this->*step)(id);
    });
}

void target_service::finish(work_id id)
{
    const auto& exchange = *waiting_.find(id);
    nlohmann::json body = {
        {"request_id", header_or(exchange, "Request-Id", "")},
        {"key", header_or(exchange, "Idempotency-Key", "")},
        {"target", settings_.name},
        {"path", exchange.path()}};
    constexpr std::int64_t max_padding = 8 * 1024 * 1024;
    const auto padding = std::clamp<std::int64_t>(
        parse_number<std::int64_t>(exchange.query_value("bytes")).value_or(0),
        0, max_padding);
    body["padding"] = std::string(static_cast<std::size_t>(padding), 'x');
    forget(id);
    work_.complete(loop_.now());
    answer(id, 200, body.dump());
}

void target_service::answer(work_id id, int status, const std::string& body)
{
    if (!chance(late_.share)) {
        send(id, status, body);
        return;
    }
    tasks_.after(late_.delay, [this, id, status, body] {
        if (waiting_.find(id))
            send(id, status, body);
    });
}

void target_service::send(work_id id, int status, const std::string& body)
{
    auto exchange = waiting_.take(id);
    auto headers = answer_headers(*exchange);
    if (!takes_truncation()) {
        exchange->reply(status, headers, body);
        return;
    }
    headers.push_back({"Content-Length", std::to_string(body.size())});
    exchange->start(status, headers);
    exchange->write(std::string_view(body).substr(0, body.size() / 2));
    // Destroying the exchange closes the connection.
}

bool target_service::takes_truncation()
{
    if (truncate_ == 0)
        return false;
    --truncate_;
    return true;
}

void target_service::expire(work_id id)
{
    if (!running_.contains(id))
        return;
    const bool streams = running_[id].streams;
    forget(id);
    work_.expire();
    if (streams)
        waiting_.drop(id);
    else
        answer(id, 504, "{\"error\":\"deadline passed\"}");
}

void target_service::cancel(work_id id)
{
    if (!running_.contains(id))
        return;
    forget(id);
    work_.cancel();
}

void target_service::forget(work_id id)
{
    const auto& work = running_[id];
    tasks_.cancel(work.next);
    tasks_.cancel(work.end);
    running_.erase(id);
}

io::header_list
target_service::answer_headers(const io::server_exchange& exchange)
{
    const bool draining =
        announces_drain_ || work_.state() == target_state::draining;
    const auto state = draining ? target_state::draining : work_.state();
    work_.told_state(loop_.now());
    const auto load = std::to_string(work_.in_flight()) + "/" +
                      std::to_string(settings_.slots);
    return {{"Content-Type", "application/json"},
            {"Target-State", std::string(to_string(state))},
            {"Target-Load", stale_load_ ? reported_load_ : load},
            {"Request-Id", header_or(exchange, "Request-Id", "")}};
}

void target_service::not_run(io::server_exchange& exchange,
                             std::string_view why)
{
    auto headers = answer_headers(exchange);
    headers.push_back({"Not-Run", std::string(why)});
    exchange.reply(503, headers, "{\"error\":\"not run\"}");
}

void target_service::take_load_snapshot()
{
    if (stale_load_)
        return;
    const auto state =
        announces_drain_ ? target_state::draining : work_.state();
    reported_ = std::move(measured_);
    measured_ = {{"in_flight", work_.in_flight()},
                 {"slots", settings_.slots},
                 {"state", to_string(state)}};
}

bool target_service::chance(double share)
{
    return share > 0.0 && std::bernoulli_distribution(share)(random_);
}

} // namespace vanillapost::standin
