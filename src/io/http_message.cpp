#include "vanillapost/src/io/http_message.hpp"

#include <algorithm>
#include <array>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace vanillapost::io {

namespace {

char to_lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

constexpr std::array<std::string_view, 9> hop_headers = {
    "Connection", "Keep-Alive",     "Transfer-Encoding",
    "TE",         "Trailer",        "Upgrade",
    "Expect",     "Content-Length", "Proxy-Connection"};

std::string_view trimmed(std::string_view word)
{
    while (word.starts_with(' '))
        word.remove_prefix(1);
    while (word.ends_with(' '))
        word.remove_suffix(1);
    return word;
}

} // namespace

bool same_header_name(std::string_view one, std::string_view other)
{
    return std::ranges::equal(
        one, other, [](char x, char y) { return to_lower(x) == to_lower(y); });
}

bool is_hop_header(std::string_view name, std::string_view connection)
{
    const bool known =
        std::ranges::any_of(hop_headers, [&](std::string_view each) {
            return same_header_name(each, name);
        });
    if (known)
        return true;
    while (!connection.empty()) {
        const auto comma = connection.find(',');
        if (same_header_name(trimmed(connection.substr(0, comma)), name))
            return true;
        if (comma == std::string_view::npos)
            break;
        connection.remove_prefix(comma + 1);
    }
    return false;
}

std::optional<std::string_view> find_header(std::span<const header_field> list,
                                            std::string_view name)
{
    for (const auto& field : list)
        if (same_header_name(field.name, name))
            return field.value;
    return std::nullopt;
}

std::string query_value(std::string_view query, std::string_view name)
{
    evkeyvalq parsed{};
    const std::string text(query);
    if (evhttp_parse_query_str(text.c_str(), &parsed) != 0)
        return "";
    const char* found = evhttp_find_header(&parsed, std::string(name).c_str());
    std::string value = found ? found : "";
    evhttp_clear_headers(&parsed);
    return value;
}

} // namespace vanillapost::io
