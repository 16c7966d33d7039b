#ifndef VANILLAPOST_STANDINS_TARGET_BYTE_RANGE_HPP
#define VANILLAPOST_STANDINS_TARGET_BYTE_RANGE_HPP

#include <cstdint>
#include <optional>
#include <string_view>

namespace vanillapost::standin {

/// Part of a file, both ends included.
struct byte_range
{
    std::uint64_t first = 0;
    std::uint64_t last = 0;

    std::uint64_t size() const
    {
        return last - first + 1;
    }
};

/// Reads a `Range` header with one range of a file of `size` bytes: nothing
/// when it is malformed or lies outside.
std::optional<byte_range> parse_range(std::string_view header,
                                      std::uint64_t size);

} // namespace vanillapost::standin

#endif
