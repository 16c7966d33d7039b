#include "scraper.hpp"

#include <utility>
#include <vanillapost/exposition.hpp>

namespace vanillapost::burn_app {

namespace {

constexpr int status_ok = 200;
constexpr std::size_t max_metrics_bytes = metrics_text_limits{}.max_bytes;

} // namespace

scraper::scraper(io::event_loop& loop, const std::vector<io::address>& entries,
                 duration timeout, burn_collector& collector)
    : loop_(&loop), timeout_(timeout), collector_(&collector)
{
    for (const auto& where : entries) {
        auto each = std::make_unique<entry>();
        each->name = to_string(where);
        each->client = std::make_unique<io::http_client>(loop, where);
        entries_.push_back(std::move(each));
    }
}

void scraper::start_round(std::function<void()> done)
{
    done_ = std::move(done);
    waiting_ = entries_.size();
    for (auto& each : entries_)
        start(*each);
}

void scraper::start(entry& from)
{
    from.body.clear();
    from.status = 0;
    io::http_request request;
    request.target = "/metrics";
    request.headers = {{"Connection", "close"}};
    io::call_handlers handlers;
    handlers.on_headers = [&from](int status, auto) { from.status = status; };
    handlers.on_data = [this, &from](auto data) { take(from, data); };
    handlers.on_done = [this, &from] { finish(from, ""); };
    handlers.on_failure = [this, &from](const io::call_failure& failure) {
        finish(from, failure.what);
    };
    from.call = from.client->start(request, std::move(handlers), timeout_);
}

void scraper::take(entry& from, std::string_view data)
{
    if (from.body.size() + data.size() <= max_metrics_bytes) {
        from.body += data;
        return;
    }
    from.call->cancel();
    finish(from, "metrics are too long");
}

void scraper::finish(entry& from, const std::string& failure)
{
    if (!failure.empty())
        collector_->note_failure(from.name + ": " + failure);
    else
        read(from);
    if (--waiting_ > 0)
        return;
    collector_->end_round(loop_->now());
    loop_->post(std::exchange(done_, {}));
}

void scraper::read(entry& from)
{
    if (from.status != status_ok) {
        collector_->note_failure(from.name + ": status " +
                                 std::to_string(from.status));
        return;
    }
    try {
        const auto samples = parse_metrics_text(from.body, from.name);
        collector_->observe(from.name, loop_->now(), count_answers(samples));
    } catch (const error& failure) {
        collector_->note_failure(failure.what());
    }
}

} // namespace vanillapost::burn_app
