#include "fuzz_target.hpp"
#include "vanillapost/members.hpp"
#include "vanillapost/src/io/detail/cbor.hpp"
#include "vanillapost/targets.hpp"

void vanillapost::fuzz::decode(std::string_view bytes)
{
    const auto message = io::detail::parse_message(bytes);
    // What a message holds may be written into JSON later on.
    message.dump();
    if (message.contains("limits"))
        for (const auto& each : message.at("limits"))
            decode_or_refuse([&] {
                const auto note = parse_versioned_rate_limit(each);
                require(parse_versioned_rate_limit(to_json(note)) == note);
            });
    for (const auto* field : {"hello", "heartbeat"}) {
        if (!message.contains(field))
            continue;
        const auto& part = message.at(field);
        decode_or_refuse([&] {
            const auto who = parse_member(part);
            require(parse_member(to_json(who)) == who);
            require(is_connectable_address(who.caller_address));
        });
        decode_or_refuse([&] {
            const auto text = to_json(parse_member_heartbeat(part));
            require(to_json(parse_member_heartbeat(text)) == text);
        });
    }
}
