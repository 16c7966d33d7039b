#include "vanillapost/src/members/member_codec.hpp"

#include "vanillapost/src/base/error.hpp"
#include "vanillapost/src/base/number_text.hpp"
#include "vanillapost/src/base/text_check.hpp"

namespace vanillapost {

namespace {

constexpr std::string_view step = "decode member";

using nlohmann::json;

[[noreturn]] void throw_invalid(const char* field, const std::string& found,
                                const char* expected)
{
    throw error(step, shortened(found),
                std::string(field) + ": expected " + expected);
}

std::string read_name(const json& document, const char* field)
{
    auto text = document.at(field).get<std::string>();
    if (!is_name_text(text))
        throw_invalid(field, text, "1 to 200 bytes without control characters");
    return text;
}

// Addresses are given to callers and peers without a further check.
std::string read_address(const json& document, const char* field)
{
    auto text = document.at(field).get<std::string>();
    if (!is_connectable_address(text))
        throw_invalid(field, text, "an IP number and port to connect to");
    return text;
}

// The JSON library's conversion accepts fractions and wraps negative numbers.
std::uint64_t read_unsigned(const json& document, const char* field,
                            std::uint64_t highest)
{
    const auto& value = document.at(field);
    const bool whole = value.is_number_integer() && value >= 0;
    if (!whole || value.get<std::uint64_t>() > highest)
        throw error(step, field,
                    "expected a whole number up to " + std::to_string(highest));
    return value.get<std::uint64_t>();
}

} // namespace

json to_json(const member& who)
{
    return {{"name", who.name.value},
            {"incarnation", who.incarnation},
            {"data_centre", who.data_centre.value},
            {"caller_address", who.caller_address},
            {"peer_address", who.peer_address},
            {"query_address", who.query_address}};
}

json to_json(const member_heartbeat& heartbeat)
{
    json message = {{"n", heartbeat.name.value},
                    {"i", heartbeat.incarnation},
                    {"r", heartbeat.ready},
                    {"l", heartbeat.leaving},
                    {"f", heartbeat.following},
                    {"s", static_cast<int>(heartbeat.store)},
                    {"o", heartbeat.revisions.operators},
                    {"t", heartbeat.revisions.targets}};
    if (heartbeat.is_probed)
        message["p"] = true;
    if (heartbeat.is_idle)
        message["u"] = true;
    if (heartbeat.is_cut_off)
        message["c"] = true;
    if (heartbeat.view_digest != 0)
        message["v"] = heartbeat.view_digest;
    return message;
}

member parse_member(const json& document)
{
    try {
        member who;
        who.name.value = read_name(document, "name");
        who.incarnation = read_name(document, "incarnation");
        who.data_centre.value = read_name(document, "data_centre");
        who.caller_address = read_address(document, "caller_address");
        who.peer_address = read_address(document, "peer_address");
        who.query_address = read_address(document, "query_address");
        return who;
    } catch (const json::exception& failure) {
        throw error(step, "", failure.what());
    }
}

member_heartbeat parse_member_heartbeat(const json& document)
{
    try {
        member_heartbeat heartbeat;
        heartbeat.name.value = read_name(document, "n");
        heartbeat.incarnation = read_name(document, "i");
        heartbeat.ready = document.at("r").get<bool>();
        heartbeat.leaving = document.at("l").get<bool>();
        heartbeat.following = document.at("f").get<bool>();
        // Omitted when they have their default value, and by peers of earlier
        // versions.
        heartbeat.is_probed =
            document.contains("p") && document.at("p").get<bool>();
        heartbeat.is_idle =
            document.contains("u") && document.at("u").get<bool>();
        heartbeat.is_cut_off =
            document.contains("c") && document.at("c").get<bool>();
        if (document.contains("v"))
            heartbeat.view_digest =
                read_unsigned(document, "v", max_exact_whole);
        heartbeat.store = static_cast<store_access>(read_unsigned(
            document, "s", static_cast<std::uint64_t>(store_access::lost)));
        heartbeat.revisions.operators =
            read_unsigned(document, "o", max_exact_whole);
        heartbeat.revisions.targets =
            read_unsigned(document, "t", max_exact_whole);
        return heartbeat;
    } catch (const json::exception& failure) {
        throw error(step, "", failure.what());
    }
}

} // namespace vanillapost
