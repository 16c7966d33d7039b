#include "vanillapost/src/placement/pause_request.hpp"

#include "vanillapost/src/base/number_text.hpp"

#include <cmath>

namespace vanillapost {

std::string_view to_string(pause_refusal why)
{
    switch (why) {
    case pause_refusal::not_seconds:
        return "not a number of seconds";
    case pause_refusal::negative:
        return "negative";
    case pause_refusal::too_long:
        break;
    }
    return "too long";
}

pause_request parse_pause(std::string_view text)
{
    const auto seconds = parse_decimal(text);
    if (!seconds)
        return pause_refusal::not_seconds;
    if (*seconds < 0)
        return pause_refusal::negative;
    constexpr double us_per_second = 1e6;
    const double rounded_us = std::ceil(*seconds * us_per_second);
    if (rounded_us > static_cast<double>(longest_pause.count()))
        return pause_refusal::too_long;
    return duration(static_cast<duration::rep>(rounded_us));
}

} // namespace vanillapost
