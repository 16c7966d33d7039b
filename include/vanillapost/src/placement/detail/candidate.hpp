#ifndef VANILLAPOST_SRC_PLACEMENT_DETAIL_CANDIDATE_HPP
#define VANILLAPOST_SRC_PLACEMENT_DETAIL_CANDIDATE_HPP

#include "../placement_request.hpp"
#include "../placement_settings.hpp"
#include "tracked_target.hpp"

#include <span>
#include <vector>

namespace vanillapost::detail {

/// A target that is eligible for a request, with the cost of sending it there.
struct candidate
{
    tracked_target* target;
    double cost;     ///< `expected` plus penalties for risks and traffic, µs
    double expected; ///< µs until the response is complete
    bool full;       ///< no slot is free
    bool congested;  ///< full, or one more request slows down the others there
    bool fresh;      ///< its last report and its last probe are both recent
};

/// Estimates cost and congestion of sending a request to a target.
/// \param remote_delay  that the way to its data centre adds; zero for the one
///                      of this instance
candidate assess(tracked_target& each, const placement_request& request,
                 const placement_settings& settings, duration remote_delay,
                 time_point now);

/// Factor by which work now takes longer on a target than on an idle machine
/// at normal speed.
double service_time_factor(const tracked_target& each,
                           const placement_settings& settings, time_point now);

/// Removes failing targets unless all are failing. A target that fails at once
/// always has free slots and would attract requests; waiting for another one
/// is better.
void drop_failing(std::vector<candidate>& order, time_point now);

/// Removes targets of other data centres if enough local ones have free
/// capacity.
void drop_remote(std::vector<candidate>& order,
                 const placement_settings& settings);

/// Whether enough targets have free capacity to accept a request that will be
/// late. With little capacity left, it would take a slot from one that could
/// still be in time.
bool has_spare_capacity(std::span<const candidate> order,
                        const placement_settings& settings);

/// Whether a request may be sent to a congested target. It slows down the
/// other requests there or queues behind them, so this pays off only if it
/// still completes in time and if the target's total throughput rises.
bool may_use_congested(const candidate& each, const placement_options& options,
                       const placement_settings& settings, time_point now);

/// The likely best targets whose data is stale and which should be probed
/// before the choice. There is a second round only while a target that was not
/// yet probed looks much better.
/// \param order  candidates, the best first; not empty
std::vector<target_id> targets_to_probe(std::span<const candidate> order,
                                        const placement_settings& settings);

} // namespace vanillapost::detail

#endif
