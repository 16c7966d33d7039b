#ifndef VANILLAPOST_APPS_ENTRY_ENTRY_METRICS_HPP
#define VANILLAPOST_APPS_ENTRY_ENTRY_METRICS_HPP

#include "vanillapost/base.hpp"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>

namespace vanillapost::entry {

/// How a request ended, for the service-level report.
enum class request_result
{
    good,    ///< answered within the objective
    slow,    ///< answered, later than the objective
    refused, ///< refused, did not run
    failed,  ///< may have run, no whole answer
};

/// The metrics of an entry.
class entry_metrics
{
public:
    entry_metrics();

    void count_request(const service_id& service, request_result result,
                       duration taken);
    /// \param kind  "first", "retry", "hedge" or "forward"
    void count_attempt(const service_id& service, std::string_view kind);
    void count_probe();

    void set_in_flight(std::size_t requests);
    void set_queued(std::size_t requests);
    void set_holds(std::size_t held, std::size_t confirmed);
    void set_records_revision(std::uint64_t latest);
    void set_platform_reachable(bool reachable);
    void set_mesh_bytes(std::uint64_t sent, std::uint64_t received);

    const prometheus::Registry& registry() const
    {
        return registry_;
    }

private:
    struct service_metrics
    {
        prometheus::Counter* results[4];
        prometheus::Histogram* seconds;
    };

    service_metrics& of(const service_id& service);

    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Histogram>& seconds_;
    prometheus::Family<prometheus::Counter>& attempts_;
    prometheus::Counter& probes_;
    prometheus::Gauge& in_flight_;
    prometheus::Gauge& queued_;
    prometheus::Family<prometheus::Gauge>& holds_;
    prometheus::Gauge& held_;
    prometheus::Gauge& confirmed_;
    prometheus::Gauge& records_revision_;
    prometheus::Gauge& platform_reachable_;
    prometheus::Family<prometheus::Gauge>& mesh_bytes_;
    prometheus::Gauge& mesh_sent_;
    prometheus::Gauge& mesh_received_;
    std::map<service_id, service_metrics> by_service_;
};

} // namespace vanillapost::entry

#endif
