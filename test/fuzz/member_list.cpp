#include "fuzz_target.hpp"
#include "vanillapost/members.hpp"

// A list of members, as an instance leaves it in the store.
void vanillapost::fuzz::decode(std::string_view bytes)
{
    const auto list = nlohmann::json::parse(bytes, nullptr, false);
    if (!list.is_array())
        return;
    for (const auto& each : list)
        decode_or_refuse([&] {
            const auto who = parse_member(each);
            require(is_connectable_address(who.caller_address));
            require(is_connectable_address(who.peer_address));
            require(is_connectable_address(who.query_address));
            require(parse_member(to_json(who)) == who);
        });
}
