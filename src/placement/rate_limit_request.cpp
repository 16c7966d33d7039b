#include "vanillapost/src/placement/rate_limit_request.hpp"

#include "vanillapost/src/base/number_text.hpp"

namespace vanillapost {

std::string_view to_string(rate_limit_refusal why)
{
    switch (why) {
    case rate_limit_refusal::not_decimal:
        return "not a decimal number";
    case rate_limit_refusal::negative:
        return "negative";
    case rate_limit_refusal::too_high:
        break;
    }
    return "too high";
}

rate_limit_request parse_rate_limit(std::string_view text)
{
    const auto per_second = parse_decimal(text);
    if (!per_second)
        return rate_limit_refusal::not_decimal;
    if (*per_second < 0)
        return rate_limit_refusal::negative;
    if (*per_second > highest_rate_limit)
        return rate_limit_refusal::too_high;
    // Turns minus zero into zero.
    return *per_second + 0.0;
}

} // namespace vanillapost
