#include "vanillapost/src/operations/write_author.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>

namespace vanillapost {

namespace {

constexpr std::string_view operator_prefix = "ops/";
constexpr std::size_t max_user_bytes = 64;

bool is_allowed(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '.' || c == '-' || c == '_';
}

std::string to_hex(std::uint32_t value)
{
    std::array<char, 9> text{};
    std::snprintf(text.data(), text.size(), "%08x", value);
    return text.data();
}

} // namespace

std::string make_write_id(std::string_view user, random_engine& random)
{
    std::string name(user.substr(0, max_user_bytes));
    std::replace_if(
        name.begin(), name.end(), [](char c) { return !is_allowed(c); }, '_');
    if (name.empty())
        name = "_";
    std::string id = std::string(operator_prefix) + name + "/";
    constexpr int words = 4;
    for (int i = 0; i < words; ++i)
        id += to_hex(random());
    return id;
}

std::string write_author(std::string_view write_id)
{
    if (!write_id.starts_with(operator_prefix))
        return std::string(write_id);
    const auto rest = write_id.substr(operator_prefix.size());
    return std::string(rest.substr(0, rest.find('/')));
}

} // namespace vanillapost
