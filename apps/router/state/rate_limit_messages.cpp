#include "state/rate_limit_messages.hpp"

#include "vanillapost/src/base/error.hpp"

namespace vanillapost::router {

namespace {

using nlohmann::json;

void apply_rate_limit(const json& message, std::string_view peer,
                      knowledge& cluster, router_log& log, time_point now)
{
    try {
        const auto note = parse_rate_limit_note(message);
        if (cluster.on_peer_told_rate_limit(note, now))
            log.rate_limit(note.target, note.per_second, "a peer");
    } catch (const error& failure) {
        log.request(io::log_level::warning, "rate_limit_unreadable",
                    {{"peer", std::string(peer)}, {"reason", failure.what()}});
    }
}

} // namespace

json format_rate_limits(std::span<const rate_limit_note> notes)
{
    json list = json::array();
    for (const auto& note : notes)
        list.push_back(to_json(note));
    return list;
}

void take_rate_limits(const json& list, std::string_view peer,
                      knowledge& cluster, router_log& log, time_point now)
{
    for (const auto& each : list)
        apply_rate_limit(each, peer, cluster, log, now);
}

} // namespace vanillapost::router
