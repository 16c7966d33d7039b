#include "vanillapost/src/io/address.hpp"

#include "vanillapost/src/base/error.hpp"

#include <arpa/inet.h>
#include <charconv>

namespace vanillapost::io {

namespace {

constexpr std::string_view step = "parse address";
// Longest is an IPv6 number with an embedded IPv4 one, brackets and port.
constexpr std::size_t max_text_bytes = 64;

[[noreturn]] void refuse(std::string_view text, std::string_view why)
{
    throw error(step, text.substr(0, max_text_bytes), why);
}

bool is_ip(const std::string& text, int family)
{
    in6_addr buffer{};
    return inet_pton(family, text.c_str(), &buffer) == 1;
}

std::uint16_t parse_port(std::string_view text, std::string_view digits)
{
    std::uint16_t port = 0;
    const char* end = digits.data() + digits.size();
    auto [stop, failure] = std::from_chars(digits.data(), end, port);
    if (digits.empty() || failure != std::errc() || stop != end)
        refuse(text, "expected a port from 0 to 65535 after the last colon");
    return port;
}

} // namespace

address parse_address(std::string_view text)
{
    if (text.size() > max_text_bytes)
        refuse(text, "too long for an IP number with a port");
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        refuse(text, "expected IP:port");
    auto host = text.substr(0, colon);
    bool bracketed =
        host.size() >= 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    address parsed{std::string(host), 0};
    // An embedded zero would end the text early for inet_pton.
    if (host.find('\0') != std::string_view::npos ||
        !is_ip(parsed.ip, bracketed ? AF_INET6 : AF_INET))
        refuse(text, "expected an IP number, IPv6 in brackets");
    parsed.port = parse_port(text, text.substr(colon + 1));
    return parsed;
}

std::string to_string(const address& value)
{
    bool v6 = value.ip.find(':') != std::string::npos;
    std::string text = v6 ? "[" + value.ip + "]" : value.ip;
    return text + ":" + std::to_string(value.port);
}

} // namespace vanillapost::io
