#include "vanillapost/src/holds/hold_row.hpp"
#include "vanillapost/src/base/error.hpp"

#include "vanillapost/src/records/parse_record.hpp"

#include <nlohmann/json.hpp>

namespace vanillapost {

namespace {

using nlohmann::json;

json incarnation_json(const entry_incarnation& who)
{
    return {{"name", who.name.value}, {"incarnation", who.incarnation}};
}

json optional_json(const std::optional<entry_incarnation>& who)
{
    return who ? incarnation_json(*who) : json(nullptr);
}

entry_incarnation read_incarnation(const json& value)
{
    return {{value.at("name").get<std::string>()},
            value.at("incarnation").get<std::string>()};
}

std::optional<entry_incarnation> read_optional(const json& value)
{
    if (value.is_null()) {
        return std::nullopt;
    }
    return read_incarnation(value);
}

} // namespace

std::string hold_key(const target_id& target)
{
    return std::string(hold_prefix) + target.value;
}

std::string to_text(const hold_row& row)
{
    const json value = {{"target", row.target.value},
                        {"holder", incarnation_json(row.holder)},
                        {"successor", optional_json(row.successor)},
                        {"previous", optional_json(row.previous)},
                        {"term", row.term}};
    return value.dump();
}

hold_row parse_hold_row(std::string_view text)
{
    try {
        const json value =
            parse_bounded_json(text, max_record_bytes, "parse hold row", "");
        return {.target = {value.at("target").get<std::string>()},
                .holder = read_incarnation(value.at("holder")),
                .successor = read_optional(value.at("successor")),
                .previous = read_optional(value.at("previous")),
                .term = value.at("term").get<std::uint64_t>()};
    } catch (const json::exception& failure) {
        throw error("parse hold row", "", failure.what());
    }
}

} // namespace vanillapost
