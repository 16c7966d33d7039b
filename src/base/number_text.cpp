#include "vanillapost/src/base/number_text.hpp"

#include <algorithm>
#include <limits>

namespace vanillapost {

std::optional<double> parse_decimal(std::string_view text)
{
    const bool negative = text.starts_with('-');
    const auto digits = negative ? text.substr(1) : text;
    const auto is_part = [](char c) {
        return (c >= '0' && c <= '9') || c == '.';
    };
    if (digits.empty() || !std::ranges::all_of(digits, is_part))
        return std::nullopt;
    double value = 0;
    const auto* end = digits.data() + digits.size();
    const auto result = std::from_chars(digits.data(), end, value);
    if (result.ptr != end)
        return std::nullopt;
    if (result.ec == std::errc::result_out_of_range) {
        // The reader does not tell on which side.
        const bool is_large = digits.find_first_not_of("0.") < digits.find('.');
        value = is_large ? std::numeric_limits<double>::infinity() : 0;
    } else if (result.ec != std::errc()) {
        return std::nullopt;
    }
    return negative ? -value : value;
}

} // namespace vanillapost
