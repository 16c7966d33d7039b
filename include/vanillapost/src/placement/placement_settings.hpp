#ifndef VANILLAPOST_SRC_PLACEMENT_PLACEMENT_SETTINGS_HPP
#define VANILLAPOST_SRC_PLACEMENT_PLACEMENT_SETTINGS_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"

#include <cstddef>

namespace vanillapost {

/// Tuning of the choice of targets.
struct placement_settings
{
    data_centre_id data_centre; ///< of this instance
    entry_id self;
    time_point started{}; ///< start of this instance; by default long ago
    /// A target whose last report is older is probed before a request is
    /// placed.
    duration max_report_age = std::chrono::milliseconds(30);
    /// A target whose last probe is older may have turned cold since.
    duration max_probe_age = std::chrono::milliseconds(400);
    /// Time between probes of a target that is draining or cold.
    duration recheck_interval = std::chrono::seconds(1);
    /// Time after turning cold in which a target gets no requests. Requests
    /// that instances sent before they knew may still run there without showing
    /// in its reports.
    duration cold_settling_time = std::chrono::seconds(1);
    std::size_t probes_per_round = 3;
    int probe_rounds = 2;
    /// Requests that may wait at a target for each of its slots.
    double queue_per_slot = 1;
    /// Time that a round trip to another data centre adds.
    duration remote_delay = std::chrono::milliseconds(4);
    /// Cost of a KiB from another data centre, as the time that a caller would
    /// wait to avoid it.
    duration remote_delay_per_kib = std::chrono::milliseconds(5);
    /// A request stays in its data centre if at least so many targets there
    /// have free capacity: with that many, one of them is as good as any remote
    /// one, and traffic between data centres costs money.
    std::size_t min_local_targets = 8;
    /// Utilization of slots above which a target slows down, and the factor by
    /// which it does.
    double knee_utilization = 0.8;
    double knee_factor = 1.7;
    /// Share of the targets that must have free capacity for a request to be
    /// placed although it will be late.
    double min_free_share = 0.5;
    /// Cost of a failed attempt, in service times of the request.
    double failure_cost_repeatable = 1.5;
    double failure_cost_unrepeatable = 6;
};

} // namespace vanillapost

#endif
