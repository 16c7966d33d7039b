#include "entry_metrics.hpp"

namespace vanillapost::entry {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Registry;

const prometheus::Histogram::BucketBoundaries second_buckets = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};

prometheus::Gauge& gauge(Registry& registry, const char* name, const char* help)
{
    return BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

entry_metrics::entry_metrics()
    : requests_(BuildCounter()
                    .Name("vanillapost_requests_total")
                    .Help("Requests of callers by service and result")
                    .Register(registry_)),
      seconds_(BuildHistogram()
                   .Name("vanillapost_request_duration_seconds")
                   .Help("Time from a request's arrival to its whole answer")
                   .Register(registry_)),
      attempts_(BuildCounter()
                    .Name("vanillapost_attempts_total")
                    .Help("Requests sent to targets and peers, by kind")
                    .Register(registry_)),
      probes_(BuildCounter()
                  .Name("vanillapost_probes_total")
                  .Help("Requests sent to targets to measure them")
                  .Register(registry_)
                  .Add({})),
      in_flight_(gauge(registry_, "vanillapost_requests_in_flight",
                       "Requests of callers without their whole answer")),
      queued_(gauge(registry_, "vanillapost_requests_queued",
                    "Requests that wait for a slot")),
      holds_(BuildGauge()
                 .Name("vanillapost_holds")
                 .Help("Targets held by this entry")
                 .Register(registry_)),
      held_(holds_.Add({{"state", "held"}})),
      confirmed_(holds_.Add({{"state", "full"}})),
      records_revision_(gauge(registry_, "vanillapost_records_revision",
                              "Highest revision of a record in force")),
      platform_reachable_(
          gauge(registry_, "vanillapost_platform_reachable",
                "1 while the platform's last answer was a good one")),
      mesh_bytes_(BuildGauge()
                      .Name("vanillapost_mesh_bytes")
                      .Help("Bytes between entries since the start")
                      .Register(registry_)),
      mesh_sent_(mesh_bytes_.Add({{"direction", "sent"}})),
      mesh_received_(mesh_bytes_.Add({{"direction", "received"}}))
{
}

entry_metrics::service_metrics& entry_metrics::of(const service_id& service)
{
    auto found = by_service_.find(service);
    if (found != by_service_.end())
        return found->second;
    service_metrics made{};
    constexpr const char* names[] = {"good", "slow", "refused", "failed"};
    for (std::size_t i = 0; i < std::size(names); ++i)
        made.results[i] =
            &requests_.Add({{"service", service.value}, {"result", names[i]}});
    made.seconds = &seconds_.Add({{"service", service.value}}, second_buckets);
    return by_service_.emplace(service, made).first->second;
}

void entry_metrics::count_request(const service_id& service,
                                  request_result result, duration taken)
{
    auto& metrics = of(service);
    metrics.results[static_cast<int>(result)]->Increment();
    metrics.seconds->Observe(std::chrono::duration<double>(taken).count());
}

void entry_metrics::count_attempt(const service_id& service,
                                  std::string_view kind)
{
    attempts_.Add({{"service", service.value}, {"kind", std::string(kind)}})
        .Increment();
}

void entry_metrics::count_probe()
{
    probes_.Increment();
}

void entry_metrics::set_in_flight(std::size_t requests)
{
    in_flight_.Set(static_cast<double>(requests));
}

void entry_metrics::set_queued(std::size_t requests)
{
    queued_.Set(static_cast<double>(requests));
}

void entry_metrics::set_holds(std::size_t held, std::size_t confirmed)
{
    held_.Set(static_cast<double>(held));
    confirmed_.Set(static_cast<double>(confirmed));
}

void entry_metrics::set_records_revision(std::uint64_t latest)
{
    records_revision_.Set(static_cast<double>(latest));
}

void entry_metrics::set_platform_reachable(bool reachable)
{
    platform_reachable_.Set(reachable ? 1 : 0);
}

void entry_metrics::set_mesh_bytes(std::uint64_t sent, std::uint64_t received)
{
    mesh_sent_.Set(static_cast<double>(sent));
    mesh_received_.Set(static_cast<double>(received));
}

} // namespace vanillapost::entry
