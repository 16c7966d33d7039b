#ifndef VANILLAPOST_SRC_ROLLOUTS_ROLLOUT_DIRECTIVE_HPP
#define VANILLAPOST_SRC_ROLLOUTS_ROLLOUT_DIRECTIVE_HPP

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>

namespace vanillapost {

/// How far a roll-out is.
enum class rollout_phase
{
    waiting,   ///< the target version has no usable targets: share 0
    canary,    ///< a small share goes to the target version
    ramping,   ///< the share rises in steps
    switching, ///< all requests go to the target version
    stopped,   ///< the version is bad, share 0; not stored yet
    finished,  ///< the store holds a final state; share 0 or 1
};

/// "canary" and the like, for logs, metrics and messages.
std::string_view phase_name(rollout_phase phase);

/// What the decider of a roll-out tells all instances.
struct rollout_directive
{
    std::uint64_t order_revision = 0;
    rollout_phase phase = rollout_phase::waiting;
    double target_share = 0; ///< of the service's requests, 0 to 1
    /// Rises with each directive for the same order, whoever decides.
    std::uint64_t version = 0;

    bool operator==(const rollout_directive&) const = default;
};

/// Whether an instance that holds one directive takes the other in its place.
/// A later order replaces an earlier one. For one order, `finished` replaces
/// all else and `stopped` all but `finished`; otherwise the higher version
/// does, and of two with the same version from two deciders the lower share.
bool replaces(const rollout_directive& next, const rollout_directive& held);

/// Formats a directive as the JSON array that messages carry.
nlohmann::json to_json(const rollout_directive& directive);

/// Parses a directive that `to_json` has formatted.
/// \throws error  if it is not such an array, or a number is out of range
rollout_directive parse_rollout_directive(const nlohmann::json& message);

} // namespace vanillapost

#endif
