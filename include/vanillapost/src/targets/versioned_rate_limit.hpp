#ifndef VANILLAPOST_SRC_TARGETS_VERSIONED_RATE_LIMIT_HPP
#define VANILLAPOST_SRC_TARGETS_VERSIONED_RATE_LIMIT_HPP

#include "../base/identifier.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

namespace vanillapost {

/// The rate limit that one start of a target announced last, as instances
/// exchange it.
struct versioned_rate_limit
{
    target_id target;
    std::int64_t start_unix_ms = 0; ///< start time of the target, Unix ms
    /// Rises whenever the target announces something else to an instance.
    std::uint64_t version = 0;
    /// Requests a second from all instances; nullopt if the limit has ended.
    std::optional<double> per_second;

    bool operator==(const versioned_rate_limit&) const = default;
};

/// Formats a limit as the JSON array that heartbeats carry.
nlohmann::json to_json(const versioned_rate_limit& limit);

/// Parses a limit that `to_json` has formatted.
/// \throws error  if it is not such an array, or a number is out of range
versioned_rate_limit parse_versioned_rate_limit(const nlohmann::json& message);

} // namespace vanillapost

#endif
