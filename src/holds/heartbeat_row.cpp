#include "vanillapost/src/holds/heartbeat_row.hpp"
#include "vanillapost/src/base/error.hpp"

#include "vanillapost/src/records/parse_record.hpp"

#include <nlohmann/json.hpp>

namespace vanillapost {

std::string heartbeat_key(const entry_id& name)
{
    return "heartbeats/" + name.value;
}

std::string to_text(const heartbeat_row& row)
{
    const nlohmann::json value = {{"incarnation", row.incarnation},
                                  {"count", row.count}};
    return value.dump();
}

heartbeat_row parse_heartbeat_row(std::string_view text)
{
    try {
        const auto value =
            parse_bounded_json(text, max_record_bytes, "parse heartbeat", "");
        return {.incarnation = value.at("incarnation").get<std::string>(),
                .count = value.at("count").get<std::uint64_t>()};
    } catch (const nlohmann::json::exception& failure) {
        throw error("parse heartbeat", "", failure.what());
    }
}

} // namespace vanillapost
