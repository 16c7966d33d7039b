#include "vanillapost/src/members/member_codec.hpp"

#include "vanillapost/src/base/error.hpp"

namespace vanillapost {

namespace {

constexpr std::string_view step = "decode member";

using nlohmann::json;

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
    return {{"n", heartbeat.name.value},
            {"i", heartbeat.incarnation},
            {"r", heartbeat.ready},
            {"l", heartbeat.leaving},
            {"f", heartbeat.following},
            {"s", static_cast<int>(heartbeat.store)},
            {"o", heartbeat.revisions.operators},
            {"t", heartbeat.revisions.targets}};
}

member parse_member(const json& document)
{
    try {
        member who;
        who.name.value = document.at("name").get<std::string>();
        who.incarnation = document.at("incarnation").get<std::string>();
        who.data_centre.value = document.at("data_centre").get<std::string>();
        who.caller_address = document.at("caller_address").get<std::string>();
        who.peer_address = document.at("peer_address").get<std::string>();
        who.query_address = document.at("query_address").get<std::string>();
        return who;
    } catch (const json::exception& failure) {
        throw error(step, "", failure.what());
    }
}

member_heartbeat parse_member_heartbeat(const json& document)
{
    try {
        member_heartbeat heartbeat;
        heartbeat.name.value = document.at("n").get<std::string>();
        heartbeat.incarnation = document.at("i").get<std::string>();
        heartbeat.ready = document.at("r").get<bool>();
        heartbeat.leaving = document.at("l").get<bool>();
        heartbeat.following = document.at("f").get<bool>();
        const auto store = document.at("s").get<int>();
        if (store < 0 || store > static_cast<int>(store_access::lost))
            throw error(step, heartbeat.name.value,
                        "unknown access to the store");
        heartbeat.store = static_cast<store_access>(store);
        heartbeat.revisions.operators = document.at("o").get<std::uint64_t>();
        heartbeat.revisions.targets = document.at("t").get<std::uint64_t>();
        return heartbeat;
    } catch (const json::exception& failure) {
        throw error(step, "", failure.what());
    }
}

} // namespace vanillapost
