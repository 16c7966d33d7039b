#include "vanillapost/src/placement/pause_request.hpp"

#include "vanillapost/src/base/number_text.hpp"

#include <algorithm>
#include <cmath>

namespace vanillapost {

namespace {

// The library's reader also takes exponents, "inf" and "nan".
bool is_decimal(std::string_view text)
{
    const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
    return !text.empty() && std::ranges::all_of(text, [&](char c) {
        return is_digit(c) || c == '.';
    });
}

} // namespace

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
    const bool negative = text.starts_with('-');
    if (negative)
        text.remove_prefix(1);
    const auto whole = text.substr(0, text.find('.'));
    constexpr std::size_t most_digits = 9;
    if (is_decimal(text) && whole.size() > most_digits)
        return negative ? pause_refusal::negative : pause_refusal::too_long;
    const auto seconds =
        is_decimal(text) ? parse_number<double>(text) : std::nullopt;
    if (!seconds)
        return pause_refusal::not_seconds;
    if (negative && *seconds > 0)
        return pause_refusal::negative;
    constexpr double microseconds = 1e6;
    const duration asked(
        static_cast<duration::rep>(std::ceil(*seconds * microseconds)));
    if (asked > longest_pause)
        return pause_refusal::too_long;
    return asked;
}

} // namespace vanillapost
