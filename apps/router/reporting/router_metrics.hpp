#ifndef VANILLAPOST_APPS_ROUTER_REPORTING_ROUTER_METRICS_HPP
#define VANILLAPOST_APPS_ROUTER_REPORTING_ROUTER_METRICS_HPP

#include "vanillapost/base.hpp"
#include "vanillapost/src/io/client_ledger.hpp"
#include "vanillapost/src/io/target_pool.hpp"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string_view>

namespace vanillapost::router {

/// How a request ended, for the service-level report.
enum class request_result
{
    good,    ///< answered within the latency objective
    slow,    ///< answered, later than the objective
    refused, ///< rejected without having run
    failed,  ///< no usable answer; may have run
    gone,    ///< the caller disconnected before the answer
};

/// The metrics of a router, for its Prometheus endpoint.
class router_metrics
{
public:
    router_metrics();

    void count_request(const service_id& service, request_result result,
                       duration taken);
    /// \param kind  "first", "repeat" or "hedge"
    void count_attempt(const service_id& service, std::string_view kind);
    void count_probe(bool answered);
    /// Counts a target that announced that it shuts down.
    /// \param told_by  "target" or "peer"
    void count_departure(std::string_view told_by);
    /// Counts an answer in which a target asked to get no requests for a while.
    /// \param result  "kept" or "not_kept"
    void count_pause(std::string_view result);
    /// Counts an answer in which a target named a rate limit.
    /// \param result  "kept" or "not_kept"
    void count_rate_limit(std::string_view result);
    /// Counts what a target sent instead of a valid answer.
    void count_bad_answer(io::answer_fault fault);
    /// Counts news of a target that ended under a request.
    /// \param held  whether that request is held back now
    void count_crash_report(bool held);
    /// Counts a request that waits until one like it, under which a target may
    /// have ended, has its result.
    void count_turn_wait();
    void count_unrouted();
    /// Counts a callback of the event loop that has thrown.
    void count_callback_failure();
    /// Counts a row that was left out because it cannot be parsed.
    void count_unreadable_row(std::string_view table);
    /// Counts a request for a peer's state.
    /// \param result  "taken", "unreadable" or "unanswered"
    void count_state_request(std::string_view result);

    /// Counts changes of a table that arrived from a peer.
    /// \param result  "taken" (applied), "known" (nothing new), "taken_early"
    ///                (applied although earlier changes are missing) or
    ///                "missing_before" (for that reason not applied)
    void count_change(std::string_view table, std::string_view result);
    /// Records the time from an instance's reading of changes from the store
    /// until they were applied here.
    void observe_change_delay(std::string_view table, duration delay);
    /// Sets for how long a table has lacked changes that peers know; zero when
    /// it lacks none.
    void set_lateness(std::string_view table, duration late);
    /// Counts the removal of a target that was deferred.
    void count_held_removal();
    /// Records the time from the placement of an attempt until it was sent.
    void observe_send_delay(duration delay);

    /// Counts a member that was declared dead.
    void count_member_death();
    /// Counts bytes of datagrams to peers.
    /// \param kind  kind of message
    /// \param crosses  whether they go to another data centre
    void count_peer_bytes(std::string_view kind, bool crosses,
                          std::size_t bytes);

    void set_in_flight(std::size_t requests);
    void set_configuration_version(std::uint64_t version);
    void set_store_reachable(bool reachable);
    void set_members(std::size_t live);
    void set_targets(std::size_t listed);
    /// \param bytes  reserved for large bodies of requests
    void set_body_bytes(std::size_t bytes);
    void set_clients(const io::client_ledger& clients);
    void set_lost_log_lines(std::uint64_t lines);

    const prometheus::Registry& registry() const
    {
        return registry_;
    }

private:
    struct service_metrics
    {
        prometheus::Counter* results[5];
        prometheus::Histogram* seconds;
    };

    service_metrics& metrics_for(const service_id& service);

    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Histogram>& seconds_;
    prometheus::Family<prometheus::Counter>& attempts_;
    prometheus::Family<prometheus::Counter>& probes_;
    prometheus::Family<prometheus::Counter>& departures_;
    prometheus::Family<prometheus::Counter>& pauses_;
    prometheus::Family<prometheus::Counter>& rate_limits_;
    prometheus::Family<prometheus::Counter>& bad_answers_;
    prometheus::Family<prometheus::Counter>& crash_reports_;
    prometheus::Counter& turn_waits_;
    prometheus::Counter& unrouted_;
    prometheus::Counter& callback_failures_;
    prometheus::Family<prometheus::Counter>& unreadable_rows_;
    prometheus::Family<prometheus::Counter>& state_questions_;
    prometheus::Family<prometheus::Counter>& changes_;
    prometheus::Family<prometheus::Histogram>& change_delay_;
    prometheus::Family<prometheus::Gauge>& lateness_;
    prometheus::Counter& held_removals_;
    prometheus::Histogram& send_delay_;
    prometheus::Counter& member_deaths_;
    prometheus::Family<prometheus::Counter>& peer_bytes_;
    prometheus::Gauge& in_flight_;
    prometheus::Gauge& body_bytes_;
    prometheus::Gauge& client_bytes_;
    prometheus::Gauge& client_connections_;
    prometheus::Family<prometheus::Counter>& client_closings_;
    prometheus::Counter& closed_for_bytes_;
    prometheus::Counter& closed_for_place_;
    prometheus::Gauge& version_;
    prometheus::Gauge& store_;
    prometheus::Gauge& members_;
    prometheus::Gauge& targets_;
    prometheus::Gauge& lost_log_lines_;
    std::map<service_id, service_metrics> services_;
};

/// The value of the label `result`.
std::string_view to_string(request_result result);

} // namespace vanillapost::router

#endif
