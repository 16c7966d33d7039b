#ifndef VANILLAPOST_SRC_PLACEMENT_PLACEMENT_SETTINGS_HPP
#define VANILLAPOST_SRC_PLACEMENT_PLACEMENT_SETTINGS_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"
#include "exchange_settings.hpp"

#include <cstddef>

namespace vanillapost {

/// What decides whether a request may go to another data centre.
enum class leaving_rule
{
    weighed, ///< `data_centre_exchange`
    /// The number of free targets here, whatever is known of the others. Kept
    /// to compare with.
    fixed_count,
};

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
    /// When requests go to targets of other data centres.
    exchange_settings exchange;
    leaving_rule leaving = leaving_rule::weighed;
    /// For `leaving_rule::fixed_count`.
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
