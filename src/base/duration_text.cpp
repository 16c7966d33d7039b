#include "vanillapost/src/base/duration_text.hpp"

#include <charconv>
#include <cmath>

namespace vanillapost {

namespace {

constexpr double micros_per_ms = 1e3;
constexpr double micros_per_second = 1e6;
constexpr double longest = 1e6 * micros_per_second;

} // namespace

std::optional<duration> parse_duration(std::string_view text)
{
    double scale = micros_per_second;
    if (text.ends_with("ms")) {
        scale = micros_per_ms;
        text.remove_suffix(2);
    } else if (text.ends_with('s')) {
        text.remove_suffix(1);
    } else {
        return std::nullopt;
    }
    double value = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (text.empty() || result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    if (!(value >= 0 && value * scale <= longest))
        return std::nullopt;
    return duration(std::llround(value * scale));
}

std::int64_t to_ms(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

std::string format_duration(duration value)
{
    return std::to_string(to_ms(value)) + "ms";
}

} // namespace vanillapost
