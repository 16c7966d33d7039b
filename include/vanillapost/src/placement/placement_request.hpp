#ifndef VANILLAPOST_SRC_PLACEMENT_PLACEMENT_REQUEST_HPP
#define VANILLAPOST_SRC_PLACEMENT_PLACEMENT_REQUEST_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"

#include <optional>
#include <variant>
#include <vector>

namespace vanillapost {

/// A request as the choice of its target sees it.
struct placement_request
{
    service_id service;
    duration expected_work{};     ///< on an idle target at the usual pace
    double expected_kib = 1;      ///< size of request and answer together
    bool repeatable = true;       ///< a lost answer can be asked for again
    std::vector<target_id> tried; ///< that are not to be chosen again
};

/// Send it there. Takes a turn of a target that takes a bounded rate.
struct place_on
{
    target_id target;
    duration expected{}; ///< until the answer is complete
};

/// Probe these first: what is known of them is old.
struct measure_first
{
    std::vector<target_id> targets;
};

/// Every target that may be used has its slots full.
struct no_room
{
    duration until_room{}; ///< estimate
};

/// No target can be used at all.
struct no_target
{
    /// Until the first of them takes a request again, where each has said when
    /// or how much it takes: by a pause, its start or a rate limit.
    std::optional<duration> until_usable;
};

using placement_decision =
    std::variant<place_on, measure_first, no_room, no_target>;

/// How much may be done for a request before it is placed.
struct placement_effort
{
    bool may_measure = true; ///< probes are still worth waiting for
    /// It may wait behind others at a target if it is done within this time.
    duration queue_until{};
};

} // namespace vanillapost

#endif
