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
    const auto named = parse_decimal(text);
    if (!named)
        return rate_limit_refusal::not_decimal;
    if (*named < 0)
        return rate_limit_refusal::negative;
    if (*named > highest_rate_limit)
        return rate_limit_refusal::too_high;
    // Minus zero is zero.
    return *named + 0.0;
}

} // namespace vanillapost
