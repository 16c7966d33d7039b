#include "byte_range.hpp"

#include <algorithm>
#include <charconv>

namespace vanillapost::standin {

namespace {

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return value;
}

} // namespace

std::optional<byte_range> parse_range(std::string_view header,
                                      std::uint64_t size)
{
    constexpr std::string_view unit = "bytes=";
    if (!header.starts_with(unit) || size == 0)
        return std::nullopt;
    header.remove_prefix(unit.size());
    const auto dash = header.find('-');
    if (dash == std::string_view::npos)
        return std::nullopt;
    const auto first = parse_number(header.substr(0, dash));
    const auto last = parse_number(header.substr(dash + 1));
    if (!first && last && *last > 0)
        return byte_range{size - std::min(*last, size), size - 1};
    const bool open_end = dash + 1 == header.size();
    if (!first || *first >= size || (!last && !open_end))
        return std::nullopt;
    if (last && *last < *first)
        return std::nullopt;
    return byte_range{*first, std::min(last.value_or(size - 1), size - 1)};
}

} // namespace vanillapost::standin
