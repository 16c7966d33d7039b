#include "vanillapost/src/io/http_message.hpp"

#include <algorithm>

namespace vanillapost::io {

namespace {

char to_lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

bool same_header_name(std::string_view one, std::string_view other)
{
    return std::ranges::equal(
        one, other, [](char x, char y) { return to_lower(x) == to_lower(y); });
}

std::optional<std::string_view> find_header(std::span<const header_field> list,
                                            std::string_view name)
{
    for (const auto& field : list)
        if (same_header_name(field.name, name))
            return field.value;
    return std::nullopt;
}

} // namespace vanillapost::io
