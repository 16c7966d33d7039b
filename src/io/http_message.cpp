#include "vanillapost/src/io/http_message.hpp"

#include <algorithm>

namespace vanillapost::io {

namespace {

char to_lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool equal_ignoring_case(std::string_view a, std::string_view b)
{
    return std::ranges::equal(
        a, b, [](char x, char y) { return to_lower(x) == to_lower(y); });
}

} // namespace

std::optional<std::string_view> find_header(std::span<const header_field> list,
                                            std::string_view name)
{
    for (const auto& field : list)
        if (equal_ignoring_case(field.name, name))
            return field.value;
    return std::nullopt;
}

} // namespace vanillapost::io
