#ifndef VANILLAPOST_STANDINS_COMMON_FILE_CONTENT_HPP
#define VANILLAPOST_STANDINS_COMMON_FILE_CONTENT_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace vanillapost::standin {

/// The bytes of a made-up file, each of which follows from the file's name
/// and its place, so that a reader can check every byte of any range.
class file_content
{
public:
    explicit file_content(std::string_view name)
    {
        // FNV-1a
        for (const unsigned char c : name)
            start_ = (start_ ^ c) * 16'777'619U;
    }

    char at(std::uint64_t offset) const
    {
        constexpr std::string_view letters =
            "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_";
        const auto mixed = start_ + offset * 31 + (offset >> 6) * 7;
        return letters[mixed % letters.size()];
    }

    std::string range(std::uint64_t first, std::size_t count) const
    {
        std::string result(count, '\0');
        for (std::size_t i = 0; i < count; ++i)
            result[i] = at(first + i);
        return result;
    }

private:
    std::uint32_t start_ = 2'166'136'261U;
};

} // namespace vanillapost::standin

#endif
