#ifndef VANILLAPOST_SRC_BASE_NUMBER_TEXT_HPP
#define VANILLAPOST_SRC_BASE_NUMBER_TEXT_HPP

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>
#include <system_error>

namespace vanillapost {

/// Whole numbers up to here are the same in all programs that speak JSON.
inline constexpr std::uint64_t max_exact_whole = std::uint64_t{1} << 53;

/// Reads a text that is a number as a whole; nothing when it is none, or too
/// large for the type.
template <class Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number value{};
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return value;
}

/// Reads a text of digits with at most one point between or beside them, and a
/// minus before them if need be. Nothing for other texts; the library's reader
/// also takes exponents, "inf" and "nan".
std::optional<double> parse_decimal(std::string_view text);

} // namespace vanillapost

#endif
