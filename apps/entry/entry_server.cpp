#include "entry_server.hpp"

#include "problem.hpp"

#include <algorithm>
#include <utility>

namespace vanillapost::entry {

namespace {

constexpr duration pump_interval = std::chrono::milliseconds(20);
constexpr duration tick_interval = std::chrono::milliseconds(100);
constexpr duration list_interval_per_entry = std::chrono::milliseconds(100);
constexpr duration longest_settling = std::chrono::seconds(5);
constexpr duration leave_check_interval = std::chrono::milliseconds(50);
constexpr duration longest_leave = std::chrono::seconds(60);
constexpr duration longest_handover = std::chrono::seconds(8);
constexpr int cached_answer_ms = 2000;
constexpr std::string_view call_prefix = "/v1/call/";

const io::header_list json_type = {{"Content-Type", "application/json"}};
const io::header_list text_type = {
    {"Content-Type", "text/plain; version=0.0.4"}};

} // namespace

entry_server::entry_server(io::event_loop& loop, const entry_settings& settings,
                           entry_incarnation self)
    : loop_(loop), settings_(settings), self_(std::move(self)),
      random_(settings.seed),
      platform_(loop, settings.platform, settings.name.value,
                settings.platform_timeout),
      mesh_(loop, self_, io::mesh_limits{},
            {[this](const auto& from, auto message) {
                 on_message(from, message);
             },
             [this](const auto& peer) { on_peer_up(peer); },
             [this](const auto& peer) { on_peer_down(peer); },
             [this](const auto& peer) { on_peer_ended(peer); }}),
      holds_(self_, settings.data_centre, timing_, settings.seed),
      peers_(
          loop, settings_, holds_.members(), [this] { return status(); },
          [this](const auto& to, const auto& m) { return send(to, m); },
          random_),
      records_(
          loop, platform_, settings.records_interval,
          [this](const auto& to, const auto& m) { return send(to, m); },
          [this] { on_records(); }),
      targets_(loop, settings_, timing_, holds_, records_.records(), random_,
               [this](const auto& target, const auto& holder) {
                   return peers_.was_warm(target, holder);
               }),
      probes_(loop, targets_, metrics_, random_),
      holds_io_(
          loop, platform_, holds_,
          [this](const auto& to, const auto& m) { return send(to, m); },
          [this] { on_holds(); }),
      calls_({loop, settings_, platform_, records_.records(), holds_.members(),
              self_, targets_, peers_, probes_, metrics_, random_}),
      http_(loop,
            {.max_body_bytes = settings.max_body_bytes,
             .max_connections = settings.max_connections},
            [this](auto exchange) { handle(std::move(exchange)); }),
      pump_timer_(loop, [this] { calls_.pump(); }),
      tick_timer_(loop, [this] { tick(); }),
      list_timer_(loop, [this] { read_list(); }),
      leave_timer_(loop, [this] { leave_if_drained(); })
{
}

void entry_server::start()
{
    settings_.http_address = http_.listen(settings_.http_address);
    settings_.mesh_address = mesh_.listen(settings_.mesh_address);
    register_self();
    started_at_ = loop_.now();
    pump_timer_.start_every(pump_interval);
    tick_timer_.start_every(tick_interval);
    list_timer_.start_once(duration(0));
    io::log(io::log_level::info, "started",
            {{"step", "start"},
             {"http_address", io::to_string(settings_.http_address)},
             {"mesh_address", io::to_string(settings_.mesh_address)}});
}

bool entry_server::send(const entry_id& peer, const nlohmann::json& message)
{
    return mesh_.send(peer, message);
}

void entry_server::register_self()
{
    if (std::exchange(registering_, true))
        return;
    platform_.register_instance(
        {.who = self_,
         .data_centre = settings_.data_centre,
         .http_address = io::to_string(settings_.http_address),
         .mesh_address = io::to_string(settings_.mesh_address),
         .leaving = leaving_},
        [this](const auto& result) {
            registering_ = false;
            const bool done = std::holds_alternative<std::monostate>(result);
            if (done && !std::exchange(registered_, true))
                holds_io_.start();
        });
}

void entry_server::read_list()
{
    if (!registered_)
        register_self();
    const auto asked_at = loop_.now();
    platform_.instances([this, asked_at](const auto& result) {
        // The list grows with the entries: reading it ever more rarely keeps
        // the bytes a second the same.
        list_timer_.start_once(
            std::max(settings_.list_interval,
                     list_interval_per_entry *
                         static_cast<int>(holds_.members().present().size())));
        const auto* list = std::get_if<instance_list>(&result);
        metrics_.set_platform_reachable(list != nullptr);
        if (list)
            on_list(*list, asked_at);
    });
}

void entry_server::on_list(const instance_list& list, time_point asked_at)
{
    holds_.on_instance_list(list, asked_at, loop_.now());
    holds_io_.run_actions();
    follow_members();
    const bool listed =
        std::any_of(list.instances.begin(), list.instances.end(),
                    [this](const auto& each) { return each.who == self_; });
    if (!listed)
        register_self();
}

void entry_server::follow_members()
{
    std::vector<io::mesh_peer> peers;
    for (const auto& each : holds_.members().present()) {
        if (each.who.name == self_.name)
            continue;
        try {
            peers.push_back(
                {each.who.name, io::parse_address(each.mesh_address)});
        } catch (const error& failure) {
            io::log(io::log_level::warning, failure.what(),
                    {{"step", "read list"}, {"peer", each.who.name.value}});
        }
    }
    mesh_.set_peers(peers);
}

void entry_server::on_message(const entry_incarnation& from,
                              const nlohmann::json& message)
{
    try {
        if (holds_io_.on_message(from, message))
            return;
        const auto type = message.at("t").get<std::string>();
        if (type == "status") {
            records_.on_peer_revision(from.name,
                                      peers_.on_status(from, message));
            calls_.pump();
        } else if (type == "records_ask") {
            records_.on_ask(from.name, message);
        } else if (type == "records") {
            records_.on_rows(from.name, message);
        }
    } catch (const nlohmann::json::exception& failure) {
        io::log(io::log_level::warning, failure.what(),
                {{"step", "read message"}, {"peer", from.name.value}});
    }
}

void entry_server::on_peer_up(const entry_incarnation& peer)
{
    holds_.on_peer_up(peer, loop_.now());
    holds_io_.run_actions();
    peers_.on_up(peer);
}

void entry_server::on_peer_down(const entry_incarnation& peer)
{
    peers_.on_gone(peer.name);
}

void entry_server::on_peer_ended(const entry_incarnation& peer)
{
    io::log(io::log_level::info, "the process of a peer has ended",
            {{"step", "membership"},
             {"peer", peer.name.value},
             {"incarnation", peer.incarnation}});
    holds_.on_peer_ended(peer, loop_.now());
    holds_io_.run_actions();
    peers_.on_gone(peer.name);
}

void entry_server::on_records()
{
    targets_.on_records();
    calls_.on_records();
    metrics_.set_records_revision(records_.records().latest());
}

void entry_server::on_holds()
{
    targets_.on_holds();
    calls_.pump();
}

own_status entry_server::status()
{
    own_status result{.leaving = leaving_,
                      .records = records_.records().latest(),
                      .free = targets_.free_slots(),
                      .held = targets_.held_slots(),
                      .medians = {},
                      .cold = targets_.cold_targets()};
    // Those that wait here come before those of peers.
    for (auto& [service, slots] : result.free)
        slots = std::max(0, slots - static_cast<int>(calls_.waiting(service)));
    for (const auto& [service, slots] : result.held) {
        if (const auto median = targets_.median_latency(service))
            result.medians[service] = *median;
    }
    return result;
}

void entry_server::tick()
{
    targets_.tick();
    probes_.tick();
    peers_.tick();
    for (const auto& [service, slots] : targets_.held_slots())
        targets_.set_reference(service, peers_.median_latency(service));
    metrics_.set_in_flight(calls_.in_flight());
    metrics_.set_queued(calls_.waiting());
    const auto held = holds_.held_targets().size();
    metrics_.set_holds(held, holds_.confirmed(loop_.now()) ? held : 0);
    metrics_.set_mesh_bytes(mesh_.bytes_sent(), mesh_.bytes_received());
    if (holds_.superseded()) {
        io::log(io::log_level::error,
                "another process runs under this entry's name",
                {{"step", "membership"}});
        loop_.stop();
    }
}

void entry_server::handle(std::unique_ptr<io::server_exchange> exchange)
{
    const auto path = exchange->path();
    if (path.starts_with(call_prefix))
        calls_.accept(std::move(exchange));
    else if (path == "/v1/entries")
        name_entries(*exchange);
    else if (path == "/v1/status")
        reply_status(*exchange);
    else if (path == "/healthz")
        exchange->reply(200, text_type, "ok\n");
    else if (path == "/readyz")
        reply_ready(*exchange);
    else if (path == "/metrics")
        reply_metrics(*exchange);
    else
        reply_problem(*exchange,
                      {.status = 404,
                       .detail = "there is nothing at this path",
                       .step = "parse",
                       .ran = ran_state::no,
                       .retry_after = std::nullopt},
                      "");
}

void entry_server::name_entries(io::server_exchange& exchange)
{
    const service_id service{exchange.query_value("service")};
    const data_centre_id caller{exchange.query_value("data_centre")};
    if (!records_.records().find(service)) {
        reply_problem(exchange,
                      {.status = 404,
                       .detail = "there is no service of that name",
                       .step = "parse",
                       .ran = ran_state::no,
                       .retry_after = std::nullopt},
                      "");
        return;
    }
    const nlohmann::json body = {
        {"addresses", peers_.addresses(service, caller)},
        {"max_age_ms", cached_answer_ms}};
    exchange.reply(200, json_type, body.dump());
}

/// Whether every target has a holder, or has been waited for long enough.
bool entry_server::settled() const
{
    if (loop_.now() >= started_at_ + longest_settling)
        return true;
    const auto& targets = records_.records().targets();
    return std::all_of(targets.begin(), targets.end(),
                       [this](const auto& each) {
                           return holds_.holder_of(each.first).has_value();
                       });
}

void entry_server::reply_ready(io::server_exchange& exchange)
{
    const bool ready = records_.ready() && settled() && !leaving_;
    exchange.reply(ready ? 200 : 503, text_type,
                   ready ? "ready\n" : "not ready\n");
}

void entry_server::reply_metrics(io::server_exchange& exchange)
{
    exchange.reply(200, text_type, io::render_metrics(metrics_.registry()));
}

void entry_server::reply_status(io::server_exchange& exchange)
{
    nlohmann::json records = nlohmann::json::object();
    for (const auto& row : records_.records().rows_since(0))
        records[row.key] = row.at;
    nlohmann::json peers = nlohmann::json::array();
    for (const auto& peer : mesh_.up())
        peers.push_back(peer.name.value);
    nlohmann::json holders = nlohmann::json::object();
    for (const auto& [target, known] : holds_.rows()) {
        if (const auto holder = holds_.holder_of(target))
            holders[target.value] = holder->name.value;
    }
    const nlohmann::json body = {{"name", self_.name.value},
                                 {"incarnation", self_.incarnation},
                                 {"leaving", leaving_},
                                 {"confirmed", holds_.confirmed(loop_.now())},
                                 {"in_flight", calls_.in_flight()},
                                 {"waiting", calls_.waiting()},
                                 {"records", std::move(records)},
                                 {"targets", targets_.status()},
                                 {"holders", std::move(holders)},
                                 {"peers", std::move(peers)}};
    exchange.reply(200, json_type, body.dump());
}

void entry_server::leave()
{
    if (std::exchange(leaving_, true))
        return;
    io::log(io::log_level::info, "leaving", {{"step", "leave"}});
    leaving_since_ = loop_.now();
    register_self();
    holds_.start_leaving(loop_.now());
    holds_io_.run_actions();
    peers_.tick();
    leave_timer_.start_every(leave_check_interval);
}

void entry_server::leave_if_drained()
{
    const auto now = loop_.now();
    // Callers may use a cached answer for a while.
    if (now < leaving_since_ + settings_.leaving_notice)
        return;
    if (!std::exchange(stopped_accepting_, true))
        http_.stop_accepting();
    const bool answered = calls_.in_flight() == 0 && http_.in_flight() == 0;
    const bool handed_over = holds_.drained_to_leave();
    // Without platform or peers nothing can be handed over. Then the others
    // take over as if this process had died, once it has.
    const bool in_vain = answered && now >= leaving_since_ + longest_handover;
    const bool overdue = now >= leaving_since_ + longest_leave;
    if (!(answered && handed_over) && !in_vain && !overdue)
        return;
    if (answered && handed_over)
        io::log(io::log_level::info, "left", {{"step", "leave"}});
    else
        io::log(io::log_level::warning,
                answered ? "left without handing over all targets"
                         : "left with requests in flight",
                {{"step", "leave"}});
    loop_.stop();
}

} // namespace vanillapost::entry
