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

json to_json(const member_status& status)
{
    return {{"member", to_json(status.who)},
            {"ready", status.ready},
            {"leaving", status.leaving},
            {"configuration_version", status.configuration_version},
            {"state_revision", status.state_revision},
            {"store_reachable", status.store_reachable}};
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

member_status parse_member_status(const json& document)
{
    try {
        member_status status;
        status.who = parse_member(document.at("member"));
        status.ready = document.at("ready").get<bool>();
        status.leaving = document.at("leaving").get<bool>();
        status.configuration_version =
            document.at("configuration_version").get<std::uint64_t>();
        status.state_revision =
            document.at("state_revision").get<std::uint64_t>();
        status.store_reachable = document.at("store_reachable").get<bool>();
        return status;
    } catch (const json::exception& failure) {
        throw error(step, "", failure.what());
    }
}

} // namespace vanillapost
