#include "directory/directory.hpp"

#include "vanillapost/src/io/detail/cbor.hpp"

#include <charconv>
#include <set>

namespace vanillapost::router {

namespace {

constexpr int status_ok = 200;
constexpr int status_forbidden = 403;
constexpr int status_not_found = 404;
constexpr int status_wrong_method = 405;
constexpr int status_unavailable = 503;
/// State answers above this size are limited to `max_large_states` in any
/// `large_state_window`: a slow link carries about ten of them a second.
constexpr std::size_t max_unthrottled_state_bytes = std::size_t{32} * 1024;
constexpr std::size_t max_large_states = 4;
constexpr duration large_state_window = std::chrono::milliseconds(400);
constexpr std::string_view state_path = "/v2/state";
constexpr std::string_view metrics_path = "/metrics";

constexpr const char* cbor_type = "application/cbor";
constexpr const char* json_type = "application/json";
constexpr const char* text_type = "text/plain";
constexpr std::string_view health_path = "/healthz";
constexpr std::string_view status_path = "/v1/status";
constexpr std::string_view held_path = "/v1/held";
constexpr std::string_view release_path = "/v1/held/release";

directory_answer text_answer(int status, std::string_view text)
{
    return {status, text_type, std::string(text) + '\n'};
}

} // namespace

directory::directory(io::event_loop& loop, cluster_view& cluster,
                     const state_controller& state,
                     const platform_adapter& adapter,
                     const prometheus::Registry& metrics, crash_guard& crashes,
                     duration answer_lifetime, io::client_ledger& clients,
                     random_engine random)
    : loop_(loop), cluster_(cluster), state_(state), adapter_(adapter),
      metrics_(metrics), crashes_(crashes), answer_lifetime_(answer_lifetime),
      clients_(clients), random_(random)
{
}

void directory::listen(const std::vector<io::address>& addresses)
{
    std::set<io::address> bound;
    for (const auto& each : addresses) {
        if (each.ip.empty() || !bound.insert(each).second)
            continue;
        own_ip_ = each.ip;
        servers_.push_back(std::make_unique<io::http_server>(
            loop_, io::http_server_limits{},
            [this](std::unique_ptr<io::server_exchange> exchange) {
                handle(std::move(exchange));
            },
            &clients_));
        servers_.back()->listen(each);
    }
}

void directory::handle(std::unique_ptr<io::server_exchange> exchange)
{
    std::string target(exchange->path());
    if (!exchange->query().empty())
        target += '?' + std::string(exchange->query());
    auto found = answer_operator(*exchange);
    if (!found)
        found = answer(target);
    if (!found)
        found = text_answer(status_not_found, "no such path");
    exchange->reply(found->status, {{{"Content-Type", found->content_type}}},
                    found->body);
}

// Only from the machine itself: what is held back must not be released by those
// who send it.
std::optional<directory_answer>
directory::answer_operator(const io::server_exchange& exchange)
{
    const auto path = exchange.path();
    if (path != held_path && path != release_path)
        return std::nullopt;
    if (!is_own_machine(exchange.peer()))
        return text_answer(status_forbidden, "only from the same machine");
    if (path == held_path)
        return make_held_answer();
    if (exchange.method() != "POST")
        return text_answer(status_wrong_method, "POST it");
    return release_held(std::string(exchange.body()));
}

bool directory::is_own_machine(std::string_view peer) const
{
    const auto ip = peer.substr(0, peer.rfind(':'));
    return ip.starts_with("127.") || ip == own_ip_;
}

directory_answer directory::make_held_answer() const
{
    const nlohmann::json body = {{"requests", crashes_.held_requests()}};
    return {status_ok, json_type, body.dump()};
}

directory_answer directory::release_held(const std::string& request)
{
    return crashes_.release(request)
               ? text_answer(status_ok, "released here, and peers are told")
               : text_answer(status_not_found, "not held back here");
}

std::optional<directory_answer> directory::answer(std::string_view target)
{
    const auto question_mark = target.find('?');
    const auto path = target.substr(0, question_mark);
    const auto query = question_mark == std::string_view::npos
                           ? ""
                           : target.substr(question_mark + 1);
    if (path == adapter_.directory_path)
        return make_addresses_answer(query);
    if (path == adapter_.readiness_path)
        return ready_ ? text_answer(status_ok, "ready")
                      : text_answer(status_unavailable, "not ready");
    if (path == health_path)
        return text_answer(status_ok, "running");
    if (path == metrics_path)
        return directory_answer{status_ok, text_type,
                                io::render_metrics(metrics_)};
    if (path == state_path)
        return make_state_answer(query);
    if (path == status_path)
        return make_status_answer();
    return std::nullopt;
}

directory_answer directory::make_state_answer(std::string_view query)
{
    const auto revision = [&](std::string_view name) {
        const auto text = io::query_value(query, name);
        std::uint64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    };
    const state_revisions known{revision("operators"), revision("targets")};
    // Peers of earlier versions do not send this and are sent everything.
    const bool with_members = io::query_value(query, "members") != "no";
    auto bytes =
        io::detail::write_message(state_.difference(known, with_members));
    if (bytes.size() > max_unthrottled_state_bytes && !may_send_large_state())
        return text_answer(status_unavailable, "telling others");
    return {status_ok, cbor_type, std::move(bytes)};
}

// If more were sent at a time, all of them would arrive too late.
bool directory::may_send_large_state()
{
    const auto now = loop_.now();
    std::erase_if(large_states_sent_, [&](time_point sent_at) {
        return now - sent_at > large_state_window;
    });
    if (large_states_sent_.size() >= max_large_states)
        return false;
    large_states_sent_.push_back(now);
    return true;
}

directory_answer directory::make_status_answer() const
{
    const auto revisions = state_.revisions();
    nlohmann::json members = nlohmann::json::array();
    for (const auto& each : cluster_.members.live_peers(loop_.now()))
        members.push_back({{"name", each.who.name.value},
                           {"ready", each.heartbeat.ready},
                           {"follows_store", each.heartbeat.following}});
    const nlohmann::json body = {
        {"name", cluster_.members.self().name.value},
        {"ready", ready_},
        {"configuration", cluster_.routes().config().version},
        {"revisions",
         {{"operators", revisions.operators}, {"targets", revisions.targets}}},
        {"targets", cluster_.targets.all().size()},
        {"follows_store", state_.is_following()},
        {"peers", std::move(members)}};
    return {status_ok, json_type, body.dump()};
}

directory_answer directory::make_addresses_answer(std::string_view query)
{
    const auto now = loop_.now();
    auto ready = cluster_.members.ready_peers(now);
    if (ready_ && !cluster_.is_cut_off())
        ready.push_back(cluster_.members.self());
    // Where none reaches targets, rather the targets are away.
    if (ready.empty())
        ready = cluster_.members.cut_off_peers(now);
    if (ready.empty() && ready_)
        ready.push_back(cluster_.members.self());
    const data_centre_id caller{
        io::query_value(query, adapter_.data_centre_parameter)};
    const auto addresses = select_addresses(ready, caller, random_);
    if (addresses.empty())
        return text_answer(status_unavailable, "no instance is ready");
    return {status_ok, json_type,
            adapter_.write_addresses(addresses, answer_lifetime_)};
}

} // namespace vanillapost::router
