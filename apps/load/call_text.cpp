#include "call_text.hpp"

#include <charconv>

namespace vanillapost::load {

namespace {

constexpr std::string_view files = "/files/";
constexpr std::string_view bytes = "bytes=";

} // namespace

std::string path_of(const service_calls& service, const std::string& id)
{
    constexpr std::string_view place = "{id}";
    auto path = service.path;
    const auto found = path.find(place);
    if (found != std::string::npos)
        path.replace(found, place.size(), id);
    return path;
}

std::string file_of(const service_calls& service, const std::string& id)
{
    const auto path = path_of(service, id);
    if (!path.starts_with(files))
        return "";
    const auto query = path.find('?');
    return path.substr(files.size(), query - files.size());
}

std::uint64_t file_bytes_of(const service_calls& service)
{
    std::uint64_t result = 0;
    const auto found = service.path.find(bytes);
    if (found == std::string::npos)
        return result;
    const auto* first = service.path.data() + found + bytes.size();
    std::from_chars(first, service.path.data() + service.path.size(), result);
    return result;
}

} // namespace vanillapost::load
