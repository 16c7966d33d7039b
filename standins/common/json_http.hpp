#ifndef VANILLAPOST_STANDINS_COMMON_JSON_HTTP_HPP
#define VANILLAPOST_STANDINS_COMMON_JSON_HTTP_HPP

#include <vanillapost/io.hpp>

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vanillapost/base.hpp>

namespace vanillapost::standin {

inline void reply_json(io::server_exchange& exchange, int status,
                       const nlohmann::json& body)
{
    const io::header_list headers = {{"Content-Type", "application/json"}};
    exchange.reply(status, headers, body.dump());
}

inline std::string header_or(const io::server_exchange& exchange,
                             std::string_view name, std::string_view fallback)
{
    const auto value = io::find_header(exchange.headers(), name);
    return std::string(value.value_or(fallback));
}

/// Reads a JSON file.
/// \throws error  when it cannot be read or is not JSON
inline nlohmann::json read_json_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        throw error("read file", path, "cannot be opened");
    try {
        return nlohmann::json::parse(file);
    } catch (const nlohmann::json::exception& failure) {
        throw error("read file", path, failure.what());
    }
}

} // namespace vanillapost::standin

#endif
