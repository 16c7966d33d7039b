#include "reporting/router_metrics.hpp"

#include "vanillapost/exposition.hpp"

#include <array>

namespace vanillapost::router {

namespace {

constexpr std::array<std::string_view, 5> result_names = {
    "good", "slow", "refused", "failed", "gone"};

const prometheus::Histogram::BucketBoundaries latency_buckets = {
    0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2, 4, 8};

const prometheus::Histogram::BucketBoundaries delay_buckets = {
    0.005, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 1.5, 2, 3, 5};

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

prometheus::Family<prometheus::Counter>&
make_counters(prometheus::Registry& registry, std::string_view name,
              const std::string& help)
{
    return prometheus::BuildCounter()
        .Name(std::string(name))
        .Help(help)
        .Register(registry);
}

prometheus::Gauge& make_gauge(prometheus::Registry& registry,
                              const std::string& name, const std::string& help)
{
    return prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({});
}

} // namespace

std::string_view to_string(request_result result)
{
    return result_names[static_cast<std::size_t>(result)];
}

router_metrics::router_metrics()
    : requests_(make_counters(registry_, request_counter_name,
                              "Requests by service and how they ended")),
      seconds_(prometheus::BuildHistogram()
                   .Name("vanillapost_request_seconds")
                   .Help("Time from a request to its whole answer")
                   .Register(registry_)),
      attempts_(make_counters(registry_, "vanillapost_attempts_total",
                              "Requests sent to targets, by service and kind")),
      probes_(
          make_counters(registry_, "vanillapost_probes_total",
                        "Probes of targets, by whether they were answered")),
      departures_(make_counters(registry_,
                                "vanillapost_target_departures_total",
                                "Targets that said they leave, by who told")),
      pauses_(make_counters(registry_, "vanillapost_target_pauses_total",
                            "Pauses that targets asked for")),
      rate_limits_(
          make_counters(registry_, "vanillapost_target_rate_limits_total",
                        "Answers in which targets named a rate limit")),
      bad_answers_(make_counters(registry_, "vanillapost_bad_answers_total",
                                 "What targets sent and is no answer")),
      crash_reports_(make_counters(
          registry_, "vanillapost_crash_reports_total",
          "Requests under which a target ended, by what becomes of them")),
      turn_waits_(make_counters(registry_, "vanillapost_turn_waits_total",
                                "Requests that waited for the result of one "
                                "like them, under which a target ended")
                      .Add({})),
      unrouted_(make_counters(registry_, "vanillapost_unrouted_requests_total",
                              "Requests for which no route is known")
                    .Add({})),
      callback_failures_(make_counters(registry_,
                                       "vanillapost_callback_failures_total",
                                       "Failures that reached the event loop")
                             .Add({})),
      unreadable_rows_(make_counters(registry_,
                                     "vanillapost_unreadable_rows_total",
                                     "Rows of the store that were left out")),
      state_questions_(
          make_counters(registry_, "vanillapost_state_questions_total",
                        "Questions for a peer's state, by their end")),
      changes_(make_counters(registry_, "vanillapost_changes_total",
                             "Changes of tables that came, by what became of "
                             "them")),
      change_delay_(
          prometheus::BuildHistogram()
              .Name("vanillapost_change_delay_seconds")
              .Help("Time from an instance's reading of the store until a "
                    "change was taken here")
              .Register(registry_)),
      lateness_(prometheus::BuildGauge()
                    .Name("vanillapost_lateness_seconds")
                    .Help("For how long a table has lacked changes")
                    .Register(registry_)),
      held_removals_(make_counters(registry_, "vanillapost_held_removals_total",
                                   "Removals of targets that were put off")
                         .Add({})),
      send_delay_(prometheus::BuildHistogram()
                      .Name("vanillapost_send_delay_seconds")
                      .Help("Time from the placement of an attempt until it "
                            "went out")
                      .Register(registry_)
                      .Add({}, delay_buckets)),
      member_deaths_(make_counters(registry_, "vanillapost_member_deaths_total",
                                   "Members that were declared dead")
                         .Add({})),
      peer_bytes_(make_counters(registry_, "vanillapost_peer_bytes_total",
                                "Bytes sent to peers in datagrams, by kind and "
                                "whether to another data centre")),
      in_flight_(make_gauge(registry_, "vanillapost_requests_in_flight",
                            "Requests without their whole answer")),
      body_bytes_(make_gauge(registry_, "vanillapost_body_bytes",
                             "Room that large bodies of requests take")),
      client_bytes_(make_gauge(registry_, "vanillapost_client_bytes",
                               "Bytes that connections of clients hold, "
                               "without the room of large bodies")),
      client_connections_(make_gauge(registry_,
                                     "vanillapost_client_connections",
                                     "Connections of clients, of all servers")),
      client_closings_(make_counters(
          registry_, "vanillapost_client_closings_total",
          "Connections that were closed, or not taken, for others")),
      closed_for_bytes_(client_closings_.Add({{"cause", "bytes"}})),
      closed_for_place_(client_closings_.Add({{"cause", "descriptors"}})),
      version_(make_gauge(registry_, "vanillapost_configuration_version",
                          "Version of the configuration in force")),
      store_(make_gauge(registry_, "vanillapost_store_reachable",
                        "Whether the platform's store answers")),
      members_(make_gauge(registry_, "vanillapost_members",
                          "Live instances, this one included")),
      targets_(make_gauge(registry_, "vanillapost_targets",
                          "Targets that are listed")),
      lost_log_lines_(make_gauge(registry_, "vanillapost_log_lines_lost",
                                 "Log lines left out for a slow reader"))
{
}

router_metrics::service_metrics&
router_metrics::metrics_for(const service_id& service)
{
    const auto found = services_.find(service);
    if (found != services_.end())
        return found->second;
    service_metrics created{};
    for (std::size_t i = 0; i < result_names.size(); ++i)
        created.results[i] =
            &requests_.Add({{"service", service.value},
                            {"result", std::string(result_names[i])}});
    created.seconds =
        &seconds_.Add({{"service", service.value}}, latency_buckets);
    return services_.emplace(service, created).first->second;
}

void router_metrics::count_request(const service_id& service,
                                   request_result result, duration taken)
{
    auto& metrics = metrics_for(service);
    metrics.results[static_cast<std::size_t>(result)]->Increment();
    if (result == request_result::good || result == request_result::slow)
        metrics.seconds->Observe(seconds(taken));
}

void router_metrics::count_attempt(const service_id& service,
                                   std::string_view kind)
{
    attempts_.Add({{"service", service.value}, {"kind", std::string(kind)}})
        .Increment();
}

void router_metrics::count_probe(bool answered)
{
    probes_.Add({{"answered", answered ? "yes" : "no"}}).Increment();
}

void router_metrics::count_departure(std::string_view told_by)
{
    departures_.Add({{"told_by", std::string(told_by)}}).Increment();
}

void router_metrics::count_pause(std::string_view result)
{
    pauses_.Add({{"result", std::string(result)}}).Increment();
}

void router_metrics::count_rate_limit(std::string_view result)
{
    rate_limits_.Add({{"result", std::string(result)}}).Increment();
}

void router_metrics::count_crash_report(bool held)
{
    crash_reports_.Add({{"request", held ? "held_back" : "allowed"}})
        .Increment();
}

void router_metrics::count_turn_wait()
{
    turn_waits_.Increment();
}

void router_metrics::count_bad_answer(io::answer_fault fault)
{
    const auto* kind =
        fault == io::answer_fault::malformed ? "malformed" : "too_long";
    bad_answers_.Add({{"kind", kind}}).Increment();
}

void router_metrics::count_unrouted()
{
    unrouted_.Increment();
}

void router_metrics::count_callback_failure()
{
    callback_failures_.Increment();
}

void router_metrics::count_unreadable_row(std::string_view table)
{
    unreadable_rows_.Add({{"table", std::string(table)}}).Increment();
}

void router_metrics::count_state_request(std::string_view result)
{
    state_questions_.Add({{"result", std::string(result)}}).Increment();
}

void router_metrics::count_change(std::string_view table,
                                  std::string_view result)
{
    changes_
        .Add({{"table", std::string(table)}, {"result", std::string(result)}})
        .Increment();
}

void router_metrics::observe_change_delay(std::string_view table,
                                          duration delay)
{
    change_delay_.Add({{"table", std::string(table)}}, delay_buckets)
        .Observe(seconds(delay));
}

void router_metrics::set_lateness(std::string_view table, duration late)
{
    lateness_.Add({{"table", std::string(table)}}).Set(seconds(late));
}

void router_metrics::count_held_removal()
{
    held_removals_.Increment();
}

void router_metrics::observe_send_delay(duration delay)
{
    send_delay_.Observe(seconds(delay));
}

void router_metrics::count_member_death()
{
    member_deaths_.Increment();
}

void router_metrics::count_peer_bytes(std::string_view kind, bool crosses,
                                      std::size_t bytes)
{
    peer_bytes_
        .Add({{"kind", std::string(kind)}, {"crosses", crosses ? "yes" : "no"}})
        .Increment(static_cast<double>(bytes));
}

void router_metrics::set_in_flight(std::size_t requests)
{
    in_flight_.Set(static_cast<double>(requests));
}

void router_metrics::set_body_bytes(std::size_t bytes)
{
    body_bytes_.Set(static_cast<double>(bytes));
}

void router_metrics::set_clients(const io::client_ledger& clients)
{
    client_bytes_.Set(static_cast<double>(clients.bytes()));
    client_connections_.Set(static_cast<double>(clients.connections()));
    const auto raise = [](prometheus::Counter& counter, std::uint64_t value) {
        counter.Increment(static_cast<double>(value) - counter.Value());
    };
    raise(closed_for_bytes_, clients.closed_for_bytes());
    raise(closed_for_place_, clients.closed_for_place());
}

void router_metrics::set_configuration_version(std::uint64_t version)
{
    version_.Set(static_cast<double>(version));
}

void router_metrics::set_store_reachable(bool reachable)
{
    store_.Set(reachable ? 1 : 0);
}

void router_metrics::set_members(std::size_t live)
{
    members_.Set(static_cast<double>(live));
}

void router_metrics::set_lost_log_lines(std::uint64_t lines)
{
    lost_log_lines_.Set(static_cast<double>(lines));
}

void router_metrics::set_targets(std::size_t listed)
{
    targets_.Set(static_cast<double>(listed));
}

} // namespace vanillapost::router
