#ifndef VANILLAPOST_SRC_TARGETS_RATE_LIMIT_NOTE_HPP
#define VANILLAPOST_SRC_TARGETS_RATE_LIMIT_NOTE_HPP

#include "../base/identifier.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

namespace vanillapost {

/// What one start of a target said last of the rate that it takes, as instances
/// tell it each other.
struct rate_limit_note
{
    target_id target;
    std::int64_t born = 0; ///< of the start; Unix ms
    /// Rises whenever an instance is told something else by the target.
    std::uint64_t version = 0;
    /// Requests a second from all instances; nothing: the limit has ended.
    std::optional<double> per_second;

    bool operator==(const rate_limit_note&) const = default;
};

/// As an array, as heartbeats carry some of them.
nlohmann::json to_json(const rate_limit_note& note);

/// \throws error  when it is no such array, or a figure makes no sense
rate_limit_note parse_rate_limit_note(const nlohmann::json& message);

} // namespace vanillapost

#endif
