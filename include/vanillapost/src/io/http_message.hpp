#ifndef VANILLAPOST_SRC_IO_HTTP_MESSAGE_HPP
#define VANILLAPOST_SRC_IO_HTTP_MESSAGE_HPP

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace vanillapost::io {

struct header_field
{
    std::string name;
    std::string value;
};

using header_list = std::vector<header_field>;

/// Whether two header names are the same, whatever their case.
bool same_header_name(std::string_view one, std::string_view other);

/// The value of the first header of that name, whatever its case.
std::optional<std::string_view> find_header(std::span<const header_field> list,
                                            std::string_view name);

/// Whether a header concerns one connection only and is not passed on.
/// \param connection  the message's `Connection` header, which may name more
bool is_hop_header(std::string_view name, std::string_view connection = "");

/// The decoded value of a parameter of a query, or "".
/// \param query  what stands behind the question mark
std::string query_value(std::string_view query, std::string_view name);

/// What a client sends.
struct http_request
{
    std::string method = "GET";
    std::string target = "/"; ///< path and query
    header_list headers = {};
    std::string body = {};
};

} // namespace vanillapost::io

#endif
