#ifndef VANILLAPOST_SRC_ROUTING_PLACEMENT_POLICY_HPP
#define VANILLAPOST_SRC_ROUTING_PLACEMENT_POLICY_HPP

#include "target_picker.hpp"

#include <cstddef>
#include <span>
#include <string_view>
#include <variant>

namespace vanillapost {

/// Places on held targets only, by own counts and judged latency.
struct held_placement
{
    target_picker picker;
};

/// Places on any target at random.
struct random_placement
{
};

/// Places on each target in turn.
struct round_robin_placement
{
    std::size_t next = 0;
};

/// Places on the target with the least load in its last report.
struct least_reported_placement
{
};

/// Draws two targets and takes the one with less reported load.
struct two_choices_placement
{
};

/// How a target is chosen. All but the first are baselines for comparisons:
/// they know no hold, no limit and no count but the reported one.
using placement_policy =
    std::variant<held_placement, random_placement, round_robin_placement,
                 least_reported_placement, two_choices_placement>;

/// A target as a policy sees it.
struct placement_option
{
    target_candidate own;     ///< exact for held targets
    double reported_load = 0; ///< in flight by slots, from the last report
};

/// Position of the chosen option; nothing when none may take the request.
std::optional<std::size_t> place(placement_policy& policy,
                                 std::span<const placement_option> options,
                                 time_point now, random_engine& random);

/// Name for tables and settings, such as "two_choices".
std::string_view name_of(const placement_policy& policy);

} // namespace vanillapost

#endif
