#ifndef VANILLAPOST_SRC_PLACEMENT_PLACEMENT_REQUEST_HPP
#define VANILLAPOST_SRC_PLACEMENT_PLACEMENT_REQUEST_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"
#include "data_centre_exchange.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace vanillapost {

/// Restricts a choice to the targets of one version of their software, or to
/// those of all other versions.
struct version_constraint
{
    std::string version;
    bool others = false; ///< all but `version`

    bool admits(std::string_view of_target) const
    {
        return (of_target == version) != others;
    }

    bool operator==(const version_constraint&) const = default;
};

/// The properties of a request on which the choice of its target depends.
struct placement_request
{
    service_id service;
    duration expected_work{};     ///< service time, idle target at normal speed
    double expected_kib = 1;      ///< size of request and response together
    bool repeatable = true;       ///< may be sent again if its response is lost
    std::vector<target_id> tried; ///< targets not to be chosen again
    /// If not set, the version of a target does not matter.
    std::optional<version_constraint> version;
};

/// Send the request to this target. If the target has a rate limit, this
/// consumes one send of this instance's share.
struct place_on
{
    target_id target;
    duration expected{}; ///< until the response is complete
    /// Set if the target is in another data centre.
    std::optional<leaving_cause> left_because;
};

/// Probe these targets first, since their data is stale, and choose again.
struct probe_first
{
    std::vector<target_id> targets;
};

/// There are usable targets, but none has capacity for the request.
struct no_capacity
{
    duration until_capacity{}; ///< estimate
};

/// No target is usable.
struct no_target
{
    /// Time until the first target accepts a request again. Set only if each of
    /// them is held back by a pause, its warm-up or a rate limit, for which
    /// that time is known.
    std::optional<duration> until_usable;
};

using placement_decision =
    std::variant<place_on, probe_first, no_capacity, no_target>;

/// Limits of one choice.
struct placement_options
{
    bool probing_allowed = true; ///< probes are still worth waiting for
    /// The request may queue behind others at a target if its response is
    /// expected within this time.
    duration time_budget{};
};

} // namespace vanillapost

#endif
