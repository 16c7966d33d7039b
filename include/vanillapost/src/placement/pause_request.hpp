#ifndef VANILLAPOST_SRC_PLACEMENT_PAUSE_REQUEST_HPP
#define VANILLAPOST_SRC_PLACEMENT_PAUSE_REQUEST_HPP

#include "../base/time.hpp"

#include <string_view>
#include <variant>

namespace vanillapost {

/// Why a pause that a target asks for is ignored.
enum class pause_refusal
{
    not_seconds, ///< a date, or not a number
    negative,
    too_long ///< more than \ref longest_pause
};

std::string_view to_string(pause_refusal why);

/// A target that wants no requests for longer should leave instead.
inline constexpr duration longest_pause = std::chrono::hours(1);

/// The time for which a target wants no requests, or why that is ignored.
using pause_request = std::variant<duration, pause_refusal>;

/// Parses the seconds of a target's `Retry-After`, which may have a fraction.
pause_request parse_pause(std::string_view text);

} // namespace vanillapost

#endif
