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

json to_json(const member_pulse& pulse)
{
    return {{"n", pulse.name.value},
            {"i", pulse.incarnation},
            {"r", pulse.ready},
            {"l", pulse.leaving},
            {"f", pulse.following},
            {"s", static_cast<int>(pulse.store)},
            {"o", pulse.revisions.operators},
            {"t", pulse.revisions.targets}};
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

member_pulse parse_member_pulse(const json& document)
{
    try {
        member_pulse pulse;
        pulse.name.value = document.at("n").get<std::string>();
        pulse.incarnation = document.at("i").get<std::string>();
        pulse.ready = document.at("r").get<bool>();
        pulse.leaving = document.at("l").get<bool>();
        pulse.following = document.at("f").get<bool>();
        const auto store = document.at("s").get<int>();
        if (store < 0 || store > static_cast<int>(store_access::lost))
            throw error(step, pulse.name.value, "unknown access to the store");
        pulse.store = static_cast<store_access>(store);
        pulse.revisions.operators = document.at("o").get<std::uint64_t>();
        pulse.revisions.targets = document.at("t").get<std::uint64_t>();
        return pulse;
    } catch (const json::exception& failure) {
        throw error(step, "", failure.what());
    }
}

} // namespace vanillapost
