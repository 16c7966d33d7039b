#include "router_server.hpp"

#include <sys/resource.h>

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;

constexpr duration check_interval = 100ms;
/// A crowd that is kept out is told of as often.
constexpr duration closings_interval = 10s;

member describe_self(const router_settings& settings, std::uint64_t seed)
{
    member self;
    self.name.value = settings.name;
    self.incarnation = std::to_string(seed);
    self.data_centre = settings.data_centre;
    self.caller_address = io::to_string(settings.caller_address);
    self.peer_address = io::to_string(settings.peer_address);
    self.query_address = io::to_string(settings.query_address);
    return self;
}

constexpr double megabyte = 1e6;
/// A body is held up to three times while it is sent: as it was read, formatted
/// for its target, and unwritten. The other half of the memory is for the rest.
constexpr double body_memory_divisor = 6;

io::caller_server_limits server_limits(const caller_limits& limits,
                                       const router_settings& settings)
{
    io::caller_server_limits result;
    result.max_total_body_bytes = static_cast<std::size_t>(
        settings.memory_limit_mb * megabyte / body_memory_divisor);
    result.max_header_bytes = limits.max_header_bytes;
    result.max_body_bytes = limits.max_body_bytes;
    result.header_timeout = limits.header_timeout;
    result.idle_timeout = limits.idle_timeout;
    return result;
}

/// What clients hold beside large bodies is counted once, and held up to three
/// times as these are. So it is at most three eighths of the memory.
constexpr double client_memory_divisor = 8;
/// A single request of the default limits fits in any case.
constexpr double least_client_bytes = 2.0 * 1024 * 1024;
/// Descriptors of files, of the loop and of what is always open.
constexpr std::size_t own_descriptors = 32;
/// Of the others a third stays free for targets, peers and the store.
constexpr std::size_t client_descriptor_numerator = 2;
constexpr std::size_t client_descriptor_divisor = 3;

// The machine may allow fewer than the settings name.
std::size_t descriptors_of(const router_settings& settings)
{
    rlimit allowed{};
    const bool is_known = ::getrlimit(RLIMIT_NOFILE, &allowed) == 0 &&
                          allowed.rlim_cur != RLIM_INFINITY;
    const auto named = static_cast<std::size_t>(settings.descriptor_limit);
    const auto most =
        is_known ? static_cast<std::size_t>(allowed.rlim_cur) : named;
    return named > 0 ? std::min(named, most) : most;
}

io::client_bounds client_bounds_of(const router_settings& settings)
{
    io::client_bounds result;
    result.bytes = static_cast<std::size_t>(
        std::max(settings.memory_limit_mb * megabyte / client_memory_divisor,
                 least_client_bytes));
    const auto all = descriptors_of(settings);
    if (all > own_descriptors)
        result.connections = (all - own_descriptors) *
                             client_descriptor_numerator /
                             client_descriptor_divisor;
    result.connections = std::max<std::size_t>(result.connections, 1);
    return result;
}

} // namespace

router_server::router_server(io::event_loop& loop,
                             const router_settings& settings,
                             platform_parts& platform, std::uint64_t seed)
    : loop_(loop), adapter_(platform.adapter), settings_(settings),
      log_(loop, settings.log_lines_per_second), random_(seed),
      cluster_(describe_self(settings, seed), adapter_.queue_per_slot,
               random_engine(random_()), loop.now()),
      state_(
          loop, *platform.store, adapter_, cluster_, metrics_, log_,
          random_engine(random_()), settings.drain_time,
          [this](replicated_table which, const state_difference& difference) {
              peers_.distribute_change(which, difference);
          }),
      peers_(loop, settings.peer_address, settings.seeds, cluster_, state_,
             metrics_, log_, random_engine(random_())),
      engine_(
          loop, cluster_, adapter_, settings, metrics_, log_,
          [this] { return state_.has_newest_configuration(); },
          {[this](const target_id& id, std::int64_t start_unix_ms) {
               peers_.on_target_leaving(id, start_unix_ms);
           },
           [this](const target_id& id, rate_limit_change change) {
               peers_.on_rate_limit(id, change);
           }},
          random_engine(random_())),
      directory_(loop, cluster_, state_, adapter_, metrics_.registry(),
                 engine_.crashes(), settings.answer_lifetime, clients_,
                 random_engine(random_())),
      callers_(
          loop, server_limits({}, settings),
          [this](std::unique_ptr<io::caller_exchange> exchange) {
              handle(std::move(exchange));
          },
          &clients_),
      check_timer_(loop, [this] { check(); })
{
    clients_.set_bounds(client_bounds_of(settings));
    engine_.on_reach_changed([this](bool cut_off) {
        // Callers then ask for an address again, and get that of a peer.
        if (!shutdown_)
            callers_.announce_close(cut_off);
        peers_.on_reach_changed();
    });
    connect_crash_reports();
    loop.on_failure([this](const io::callback_failure& failure) {
        report_callback_failure(failure);
    });
    platform.store->on_malformed_row(
        [this](std::string_view table, const malformed_row& row) {
            log_malformed_row(table, row);
        });
    if (!platform.table)
        return;
    claims_ = std::make_unique<idempotency_claims>(loop, *platform.table,
                                                   cluster_, adapter_, log_);
    engine_.set_claims(*claims_);
}

void router_server::connect_crash_reports()
{
    auto& guard = engine_.crashes();
    guard.on_report(
        [this](const crash_report& report) { peers_.on_crash(report); });
    guard.on_trial(
        [this](const std::string& request) { peers_.on_crash_trial(request); });
    guard.on_release([this](const std::string& request) {
        peers_.on_crash_release(request);
    });
    crash_relay_handlers handlers;
    handlers.on_report = [&guard](const crash_report& report,
                                  std::string_view peer) {
        guard.on_peer_report(report, peer);
    };
    handlers.on_trial = [&guard](const std::string& request) {
        guard.on_peer_trial(request);
    };
    handlers.on_release = [&guard](const std::string& request,
                                   std::string_view peer) {
        guard.on_peer_release(request, peer);
    };
    handlers.held = [&guard] { return guard.held_reports(); };
    peers_.set_crash_handlers(std::move(handlers));
}

void router_server::report_callback_failure(const io::callback_failure& failure)
{
    metrics_.count_callback_failure();
    log_.state(io::log_level::error, "callback_failed",
               {{"step", std::string(failure.step)},
                {"peer", std::string(failure.peer)},
                {"reason", std::string(failure.what)}});
}

// A row with a key is passed on without a value, and counted where that is
// parsed; only a row without a key is counted here.
void router_server::log_malformed_row(std::string_view table,
                                      const malformed_row& row)
{
    if (row.key.empty())
        metrics_.count_unreadable_row(table);
    log_.request(io::log_level::warning, "row_spoilt",
                 {{"table", std::string(table)},
                  {"key", row.key},
                  {"reason", row.reason}});
}

void router_server::handle(std::unique_ptr<io::caller_exchange> exchange)
{
    auto message = exchange->take_request();
    const auto own_answer = adapter_.serves_own_paths_to_callers
                                ? directory_.answer(message.target)
                                : std::nullopt;
    if (own_answer)
        exchange->reply(own_answer->status,
                        {{"Content-Type", own_answer->content_type}},
                        own_answer->body);
    else
        engine_.handle(std::move(exchange), std::move(message));
}

void router_server::start()
{
    callers_.listen(settings_.caller_address);
    directory_.listen({settings_.ready_address, settings_.directory_address,
                       settings_.query_address, settings_.metrics_address});
    peers_.start();
    check_timer_.start_every(check_interval);
    log_.state(io::log_level::info, "started",
               {{"caller_address", io::to_string(settings_.caller_address)},
                {"data_centre", settings_.data_centre.value}});
}

void router_server::apply(const router_settings& settings)
{
    const auto before = to_json(settings_);
    const auto after = to_json(settings);
    std::string changed;
    for (const auto& [field, value] : after.items())
        if (before.at(field) != value)
            changed += (changed.empty() ? "" : ",") + field;
    if (changed.empty())
        return;
    settings_.log_level = settings.log_level;
    settings_.log_lines_per_second = settings.log_lines_per_second;
    settings_.answer_lifetime = settings.answer_lifetime;
    settings_.memory_limit_mb = settings.memory_limit_mb;
    settings_.descriptor_limit = settings.descriptor_limit;
    callers_.set_limits(server_limits(limits_, settings_));
    clients_.set_bounds(client_bounds_of(settings_));
    io::set_log_level(settings.log_level);
    log_.set_limit(settings.log_lines_per_second);
    directory_.set_answer_lifetime(settings.answer_lifetime);
    const bool complete = to_json(settings_) == after;
    log_.state(
        io::log_level::info, "settings_changed",
        {{"fields", changed}, {"needs_restart", complete ? "no" : "yes"}});
}

void router_server::leave()
{
    if (shutdown_)
        return;
    const auto now = loop_.now();
    shutdown_.emplace(now, settings_.grace_period);
    log_.state(io::log_level::info, "leaving",
               {{"in_flight", std::to_string(engine_.in_flight())}});
    directory_.set_ready(false);
    callers_.announce_close(true);
    engine_.leave(*shutdown_);
    cluster_.leave(now);
    peers_.leave();
}

void router_server::check()
{
    const auto now = loop_.now();
    if (shutdown_) {
        check_leaving(now);
        return;
    }
    const bool ready = cluster_.is_configured() && state_.is_complete();
    if (ready != ready_) {
        ready_ = ready;
        directory_.set_ready(ready);
        peers_.set_ready(ready);
        log_.state(io::log_level::info, "ready");
    }
    const auto& limits = cluster_.routes().config().limits;
    if (limits != limits_) {
        limits_ = limits;
        callers_.set_limits(server_limits(limits, settings_));
    }
    update_metrics(now);
}

void router_server::update_metrics(time_point now)
{
    const auto live = cluster_.members.live_peers(now).size() + 1;
    engine_.set_members(live);
    metrics_.set_members(live);
    metrics_.set_targets(cluster_.targets.all().size());
    metrics_.set_body_bytes(callers_.body_bytes());
    metrics_.set_clients(clients_);
    report_closings(now);
    metrics_.set_lost_log_lines(io::lost_log_lines());
    metrics_.set_configuration_version(cluster_.routes().config().version);
    metrics_.set_store_reachable(state_.access() != store_access::lost);
}

void router_server::report_closings(time_point now)
{
    const auto closed =
        clients_.closed_for_bytes() + clients_.closed_for_place();
    const bool is_due = now - closings_reported_at_ >= closings_interval;
    if (closed == closings_reported_ || !is_due)
        return;
    log_.state(
        io::log_level::warning, "clients_closed",
        {{"for_bytes", std::to_string(clients_.closed_for_bytes())},
         {"for_descriptors", std::to_string(clients_.closed_for_place())},
         {"bytes", std::to_string(clients_.bytes())},
         {"connections", std::to_string(clients_.connections())}});
    closings_reported_ = closed;
    closings_reported_at_ = now;
}

void router_server::check_leaving(time_point now)
{
    if (!accepting_stopped_ && now >= shutdown_->accepts_until()) {
        accepting_stopped_ = true;
        callers_.stop_accepting();
    }
    const bool idle = accepting_stopped_ && callers_.connections() == 0;
    if (!idle && now < shutdown_->exits_at())
        return;
    log_.state(io::log_level::info, "stopped",
               {{"in_flight", std::to_string(engine_.in_flight())}});
    loop_.stop();
}

} // namespace vanillapost::router
