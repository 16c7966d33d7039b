#ifndef VANILLAPOST_SRC_IO_ADDRESS_HPP
#define VANILLAPOST_SRC_IO_ADDRESS_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace vanillapost::io {

/// An IP number and a port.
struct address
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const address&) const = default;
};

/// Parses "127.0.0.1:8080" or "[::1]:8080".
/// \throws error  when `text` is no IP number with a port
address parse_address(std::string_view text);

std::string to_string(const address& value);

} // namespace vanillapost::io

#endif
