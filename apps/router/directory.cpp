#include "directory.hpp"

#include <charconv>
#include <set>

namespace vanillapost::router {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
constexpr std::string_view state_path = "/v1/state";
constexpr std::string_view metrics_path = "/metrics";

const io::header_list json_type{{"Content-Type", "application/json"}};
const io::header_list text_type{{"Content-Type", "text/plain"}};

} // namespace

directory::directory(io::event_loop& loop, knowledge& known,
                     const state_controller& state,
                     const platform_language& language,
                     const prometheus::Registry& metrics,
                     duration answer_lifetime, random_engine random)
    : loop_(loop), known_(known), state_(state), language_(language),
      metrics_(metrics), answer_lifetime_(answer_lifetime), random_(random)
{
}

void directory::listen(const std::vector<io::address>& addresses)
{
    std::set<io::address> bound;
    for (const auto& each : addresses) {
        if (each.ip.empty() || !bound.insert(each).second)
            continue;
        servers_.push_back(std::make_unique<io::http_server>(
            loop_, io::http_server_limits{},
            [this](std::unique_ptr<io::server_exchange> exchange) {
                handle(std::move(exchange));
            }));
        servers_.back()->listen(each);
    }
}

void directory::handle(std::unique_ptr<io::server_exchange> exchange)
{
    const auto path = exchange->path();
    if (path == language_.directory_path)
        tell_addresses(*exchange);
    else if (path == language_.readiness_path)
        exchange->reply(ready_ ? status_ok : status_unavailable, text_type,
                        ready_ ? "ready\n" : "not ready\n");
    else if (path == metrics_path)
        exchange->reply(status_ok, text_type, io::render_metrics(metrics_));
    else if (path == state_path)
        tell_state(*exchange);
    else
        exchange->reply(status_not_found, text_type, "no such path\n");
}

void directory::tell_state(io::server_exchange& exchange)
{
    const auto revision = [&](std::string_view name) {
        const auto text = exchange.query_value(name);
        std::uint64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    };
    const state_revisions known{revision("operators"), revision("targets")};
    exchange.reply(status_ok, json_type, state_.difference(known).dump());
}

void directory::tell_addresses(io::server_exchange& exchange)
{
    auto ready = known_.members.ready_peers(loop_.now());
    if (ready_)
        ready.push_back(known_.members.self());
    const data_centre_id caller{
        exchange.query_value(language_.data_centre_parameter)};
    const auto addresses = choose_addresses(ready, caller, random_);
    if (addresses.empty()) {
        exchange.reply(status_unavailable, text_type, "no instance is ready\n");
        return;
    }
    exchange.reply(status_ok, json_type,
                   language_.write_addresses(addresses, answer_lifetime_));
}

} // namespace vanillapost::router
