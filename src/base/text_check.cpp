#include "vanillapost/src/base/text_check.hpp"

#include "vanillapost/src/base/number_text.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdint>

namespace vanillapost {

namespace {

constexpr std::size_t max_shown_bytes = 80;
/// Longest is an IPv6 number with an embedded IPv4 one, brackets and port.
constexpr std::size_t max_address_bytes = 64;

/// What the first byte of a character tells of it.
struct utf8_lead
{
    std::size_t length = 0;   ///< 0: no character begins so
    std::uint32_t bits = 0;   ///< of the character
    std::uint32_t lowest = 0; ///< less could be written shorter
};

utf8_lead lead_of(unsigned char byte)
{
    if (byte < 0x80)
        return {1, byte, 0};
    if ((byte & 0xe0) == 0xc0)
        return {2, byte & 0x1fU, 0x80};
    if ((byte & 0xf0) == 0xe0)
        return {3, byte & 0x0fU, 0x800};
    if ((byte & 0xf8) == 0xf0)
        return {4, byte & 0x07U, 0x10000};
    return {};
}

bool is_character(std::uint32_t value, std::uint32_t lowest)
{
    const bool is_surrogate = value >= 0xd800 && value <= 0xdfff;
    return value >= lowest && value <= 0x10ffff && !is_surrogate;
}

/// Bytes of the character that the text begins with; 0 when there is none.
std::size_t first_character(std::string_view text)
{
    const auto lead = lead_of(static_cast<unsigned char>(text.front()));
    if (lead.length == 0 || lead.length > text.size())
        return 0;
    auto value = lead.bits;
    for (const char c : text.substr(1, lead.length - 1)) {
        const auto byte = static_cast<unsigned char>(c);
        if ((byte & 0xc0) != 0x80)
            return 0;
        value = value << 6 | (byte & 0x3fU);
    }
    return is_character(value, lead.lowest) ? lead.length : 0;
}

bool is_control(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte < 0x20 || byte == 0x7f;
}

bool is_visible(char c)
{
    return c > ' ' && c <= '~';
}

// Numbers of "this network", of groups and of the future take no connection.
bool is_host(const in_addr& ip)
{
    constexpr std::uint32_t first_group = 224;
    const auto first = ntohl(ip.s_addr) >> 24;
    return first != 0 && first < first_group;
}

bool is_host(const in6_addr& ip)
{
    if (IN6_IS_ADDR_UNSPECIFIED(&ip) || IN6_IS_ADDR_MULTICAST(&ip))
        return false;
    if (!IN6_IS_ADDR_V4MAPPED(&ip))
        return true;
    in_addr embedded{};
    std::copy_n(&ip.s6_addr[12], sizeof embedded,
                reinterpret_cast<std::uint8_t*>(&embedded));
    return is_host(embedded);
}

bool is_connectable_ip(std::string_view text)
{
    // An embedded zero would end the text early for inet_pton.
    if (text.find('\0') != std::string_view::npos)
        return false;
    if (text.size() >= 2 && text.front() == '[' && text.back() == ']') {
        in6_addr ip{};
        const std::string inner(text.substr(1, text.size() - 2));
        return inet_pton(AF_INET6, inner.c_str(), &ip) == 1 && is_host(ip);
    }
    in_addr ip{};
    return inet_pton(AF_INET, std::string(text).c_str(), &ip) == 1 &&
           is_host(ip);
}

} // namespace

bool is_utf8(std::string_view text)
{
    while (!text.empty()) {
        const auto length = first_character(text);
        if (length == 0)
            return false;
        text.remove_prefix(length);
    }
    return true;
}

bool is_name_text(std::string_view text, std::size_t max_bytes)
{
    return !text.empty() && text.size() <= max_bytes &&
           std::ranges::none_of(text, is_control) && is_utf8(text);
}

bool is_header_word(std::string_view text, std::size_t max_bytes)
{
    return !text.empty() && text.size() <= max_bytes &&
           std::ranges::all_of(text, is_visible);
}

bool is_connectable_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (text.size() > max_address_bytes || colon == std::string_view::npos)
        return false;
    const auto port = parse_number<std::uint16_t>(text.substr(colon + 1));
    return port && *port != 0 && is_connectable_ip(text.substr(0, colon));
}

std::string shortened(std::string_view text)
{
    if (text.size() <= max_shown_bytes)
        return std::string(text);
    return std::string(text.substr(0, max_shown_bytes)) + "...";
}

} // namespace vanillapost
