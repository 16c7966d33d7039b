#include "vanillapost/src/routes/key_index.hpp"

#include <algorithm>
#include <cctype>
#include <xxhash.h>

namespace vanillapost {

namespace {

std::uint64_t hash_of(std::string_view key)
{
    return XXH64(key.data(), key.size(), 0);
}

bool equal_in_constant_time(std::string_view one, std::string_view other)
{
    if (one.size() != other.size())
        return false;
    unsigned difference = 0;
    for (std::size_t i = 0; i < one.size(); ++i)
        difference |= static_cast<unsigned char>(one[i]) ^
                      static_cast<unsigned char>(other[i]);
    return difference == 0;
}

bool equal_ignoring_case(char one, char other)
{
    return std::tolower(static_cast<unsigned char>(one)) ==
           std::tolower(static_cast<unsigned char>(other));
}

} // namespace

key_index::key_index(std::span<const organisation> organisations)
{
    for (std::size_t i = 0; i < organisations.size(); ++i)
        for (const auto& key : organisations[i].keys)
            holders_.emplace(hash_of(key), holder{key, i});
}

std::optional<std::size_t> key_index::find(std::string_view key) const
{
    const auto [first, last] = holders_.equal_range(hash_of(key));
    for (auto each = first; each != last; ++each)
        if (equal_in_constant_time(each->second.key, key))
            return each->second.organisation;
    return std::nullopt;
}

std::optional<std::string_view> parse_bearer_token(std::string_view header)
{
    constexpr std::string_view scheme = "Bearer ";
    if (header.size() <= scheme.size() ||
        !std::ranges::equal(header.substr(0, scheme.size()), scheme,
                            &equal_ignoring_case))
        return std::nullopt;
    const auto begin = header.find_first_not_of(' ', scheme.size());
    if (begin == std::string_view::npos)
        return std::nullopt;
    const auto token = header.substr(begin);
    return token.substr(0, token.find_last_not_of(" \t") + 1);
}

} // namespace vanillapost
