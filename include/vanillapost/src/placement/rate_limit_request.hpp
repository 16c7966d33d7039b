#ifndef VANILLAPOST_SRC_PLACEMENT_RATE_LIMIT_REQUEST_HPP
#define VANILLAPOST_SRC_PLACEMENT_RATE_LIMIT_REQUEST_HPP

#include <string_view>
#include <variant>

namespace vanillapost {

/// Why a rate limit that a target announces is ignored.
enum class rate_limit_refusal
{
    not_decimal,
    negative,
    too_high ///< more than \ref highest_rate_limit
};

std::string_view to_string(rate_limit_refusal why);

/// Requests a second; a target that can handle more needs no limit.
inline constexpr double highest_rate_limit = 1e6;

/// Requests a second that a target accepts from all instances together, or why
/// the limit that it announced is ignored.
using rate_limit_request = std::variant<double, rate_limit_refusal>;

/// Parses a target's rate limit, a decimal number of requests a second.
rate_limit_request parse_rate_limit(std::string_view text);

} // namespace vanillapost

#endif
