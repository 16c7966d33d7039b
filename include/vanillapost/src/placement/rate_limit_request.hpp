#ifndef VANILLAPOST_SRC_PLACEMENT_RATE_LIMIT_REQUEST_HPP
#define VANILLAPOST_SRC_PLACEMENT_RATE_LIMIT_REQUEST_HPP

#include <string_view>
#include <variant>

namespace vanillapost {

/// Why a rate limit that a target names is not kept.
enum class rate_limit_refusal
{
    not_decimal,
    negative,
    too_high ///< over \ref highest_rate_limit
};

std::string_view to_string(rate_limit_refusal why);

/// Requests a second; a target that bears more needs no limit.
inline constexpr double highest_rate_limit = 1e6;

/// Requests a second that a target takes from all instances together, or why
/// what it named is not kept.
using rate_limit_request = std::variant<double, rate_limit_refusal>;

/// Reads a decimal number of requests a second, as a target names it.
rate_limit_request parse_rate_limit(std::string_view text);

} // namespace vanillapost

#endif
