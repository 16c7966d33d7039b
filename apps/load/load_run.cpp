#include "load_run.hpp"

#include "call_text.hpp"

#include <algorithm>

namespace vanillapost::load {

namespace {

using std::chrono::milliseconds;

/// How long a caller waits beyond the deadline before it gives up.
constexpr duration patience = milliseconds(1000);
constexpr double microseconds_per_second = 1e6;

std::size_t second_of(duration since_start)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(since_start);
    return static_cast<std::size_t>(seconds.count());
}

} // namespace

load_run::load_run(io::event_loop& loop, run_settings settings,
                   std::function<void()> done)
    : loop_(loop), settings_(std::move(settings)), done_(std::move(done)),
      random_(settings_.seed), tasks_(loop),
      statistics_(settings_.phases.size())
{
    make_callers();
}

void load_run::make_callers()
{
    const auto& centres = settings_.mix.data_centres;
    for (int i = 0; i < settings_.mix.callers; ++i) {
        const auto index = static_cast<std::size_t>(i);
        caller made;
        made.data_centre = centres[index % centres.size()];
        if (!settings_.direct)
            made.directory = std::make_unique<entry_directory>(
                loop_, settings_.entries, made.data_centre, index);
        callers_.push_back(std::move(made));
    }
}

void load_run::start()
{
    started_ = loop_.now();
    next_arrival_ = started_;
    auto end = started_;
    for (const auto& each : settings_.phases) {
        end += each.length;
        phase_ends_.push_back(end);
    }
    schedule_arrival();
}

std::vector<double> load_run::phase_seconds() const
{
    std::vector<double> result;
    for (const auto& each : settings_.phases)
        result.push_back(std::chrono::duration<double>(each.length).count());
    return result;
}

double load_run::total_rate(std::size_t phase) const
{
    double sum = 0.0;
    for (const auto& service : settings_.mix.services)
        sum += service.per_second;
    return sum * settings_.phases[phase].factor;
}

void load_run::schedule_arrival()
{
    while (phase_ < phase_ends_.size()) {
        const double rate = total_rate(phase_);
        if (rate > 0.0) {
            std::exponential_distribution<double> gap(rate);
            const duration wait(static_cast<duration::rep>(
                gap(random_) * microseconds_per_second));
            if (next_arrival_ + wait < phase_ends_[phase_]) {
                next_arrival_ += wait;
                tasks_.at(next_arrival_,
                          [this, due = next_arrival_, phase = phase_] {
                              schedule_arrival();
                              arrive(due, phase);
                          });
                return;
            }
        }
        // Arrivals have no memory: draw anew from the phase's end.
        next_arrival_ = phase_ends_[phase_++];
    }
    tasks_.at(next_arrival_, [this] {
        arrivals_over_ = true;
        finish_if_done();
    });
}

std::size_t load_run::draw_service()
{
    std::vector<double> weights;
    for (const auto& service : settings_.mix.services)
        weights.push_back(service.per_second);
    std::discrete_distribution<std::size_t> draw(weights.begin(),
                                                 weights.end());
    return draw(random_);
}

void load_run::arrive(time_point due, std::size_t phase)
{
    std::uniform_int_distribution<std::size_t> any_caller(0,
                                                          callers_.size() - 1);
    call made;
    made.service = &settings_.mix.services[draw_service()];
    made.from = &callers_[any_caller(random_)];
    made.id = "r" + std::to_string(settings_.seed) + "-" +
              std::to_string(++arrivals_);
    if (made.service->kind == request_kind::non_idempotent)
        made.key = "k" + made.id;
    made.due = due;
    made.phase = phase;
    statistics_.offer(made.service->name, phase, second_of(due - started_));
    calls_.push_back(std::move(made));
    find_addresses(std::prev(calls_.end()));
}

void load_run::find_addresses(call_position position)
{
    if (settings_.direct) {
        auto& list = settings_.targets[position->service->name];
        // Round robin, the simplest way to call targets.
        if (!list.empty())
            std::rotate(list.begin(), list.begin() + 1, list.end());
        position->addresses = list;
        send(position);
        return;
    }
    position->from->directory->find(position->service->name,
                                    [this, position](const auto& addresses) {
                                        position->addresses = addresses;
                                        position->next_address = 0;
                                        send(position);
                                    });
}

void load_run::reset_answer(call& value)
{
    value.status = 0;
    value.not_run = false;
    const auto file = file_of(*value.service, value.id);
    const auto bytes = file_bytes_of(*value.service);
    value.checker.emplace(value.id, value.key, file, bytes);
}

io::http_request load_run::make_request(const call& value, duration left) const
{
    const auto left_ms = std::chrono::floor<milliseconds>(left).count();
    io::http_request request;
    request.headers.push_back({"Request-Id", value.id});
    request.headers.push_back({"Deadline-Ms", std::to_string(left_ms)});
    if (!value.key.empty()) {
        request.method = "POST";
        request.body = "{\"item\":\"" + value.id + "\"}";
        request.headers.push_back({"Idempotency-Key", value.key});
        request.headers.push_back({"Content-Type", "application/json"});
    }
    const auto path = path_of(*value.service, value.id);
    if (settings_.direct) {
        request.target = path;
        return request;
    }
    request.target = "/v1/call/" + value.service->name + path;
    if (value.tries > 1)
        request.headers.push_back(
            {"Retry-Attempt", std::to_string(value.tries - 1)});
    return request;
}

void load_run::send(call_position position)
{
    auto& value = *position;
    const auto left = value.due + value.service->deadline - loop_.now();
    if (value.next_address >= value.addresses.size() ||
        left < milliseconds(1)) {
        finish(position,
               value.tries == 0 ? outcome::unreachable : outcome::refused);
        return;
    }
    ++value.tries;
    reset_answer(value);
    const auto& address = value.addresses[value.next_address++];
    auto& client =
        value.from->clients.try_emplace(address, loop_, address).first->second;
    value.http = client.start(make_request(value, left),
                              make_handlers(position), left + patience);
}

io::call_handlers load_run::make_handlers(call_position position)
{
    io::call_handlers handlers;
    handlers.on_headers = [this, position](int status, auto headers) {
        take_headers(*position, status, headers);
    };
    handlers.on_data = [position](std::string_view data) {
        position->checker->add(data);
    };
    // Later, since a call is not destroyed inside its own callback.
    handlers.on_done = [this, position] {
        loop_.post([this, position] { take_answer(position); });
    };
    handlers.on_failure = [this, position](const io::call_failure& failure) {
        loop_.post(
            [this, position, failure] { take_failure(position, failure); });
    };
    return handlers;
}

void load_run::take_headers(call& value, int status,
                            std::span<const io::header_field> headers)
{
    value.status = status;
    value.not_run = io::find_header(headers, "Not-Run").has_value();
}

void load_run::take_answer(call_position position)
{
    constexpr int first_success = 200;
    constexpr int first_redirect = 300;
    auto& value = *position;
    if (value.status >= first_success && value.status < first_redirect) {
        finish(position,
               value.checker->accepts() ? outcome::ok : outcome::wrong_answer);
        return;
    }
    const auto result =
        outcome_of_refusal(value.checker->body(), value.not_run);
    if (!retry(position, result))
        finish(position, result);
}

void load_run::take_failure(call_position position,
                            const io::call_failure& failure)
{
    const auto result = outcome_of_failure(failure);
    auto& value = *position;
    if (result == outcome::unreachable &&
        value.next_address < value.addresses.size()) {
        statistics_.count_connect_retry();
        if (value.from->directory)
            value.from->directory->distrust(value.service->name);
        send(position);
        return;
    }
    if (!retry(position, result))
        finish(position, result);
}

bool load_run::retry(call_position position, outcome result)
{
    auto& value = *position;
    const bool repeats =
        settings_.repeat_bookings && !value.key.empty() &&
        (result == outcome::maybe || result == outcome::truncated);
    const bool refused = result == outcome::refused && settings_.retries > 0;
    const int most = 1 + std::max(settings_.retries, repeats ? 1 : 0);
    if ((!repeats && !refused) || value.tries >= most)
        return false;
    const auto wait =
        refused ? retry_after(value.checker->body()) : duration(0);
    if (loop_.now() + wait >= value.due + value.service->deadline)
        return false;
    if (value.next_address >= value.addresses.size())
        value.next_address = 0;
    statistics_.count_retry();
    tasks_.after(wait, [this, position] { send(position); });
    return true;
}

void load_run::finish(call_position position, outcome result)
{
    const auto& value = *position;
    finished_call done;
    done.service = value.service->name;
    done.result = result;
    done.latency = loop_.now() - value.due;
    done.in_time =
        result == outcome::ok && done.latency <= value.service->deadline;
    done.phase = value.phase;
    done.second = second_of(value.due - started_);
    statistics_.add(done);
    calls_.erase(position);
    finish_if_done();
}

void load_run::finish_if_done()
{
    if (arrivals_over_ && calls_.empty())
        loop_.post(done_);
}

} // namespace vanillapost::load
