#include "state/rate_limit_messages.hpp"

#include "vanillapost/src/base/error.hpp"

namespace vanillapost::router {

namespace {

using nlohmann::json;

void apply_rate_limit(const json& message, std::string_view peer,
                      cluster_view& cluster, router_log& log, time_point now)
{
    try {
        const auto limit = parse_versioned_rate_limit(message);
        if (cluster.on_rate_limit_relayed(limit, now))
            log.rate_limit(limit.target, limit.per_second, "a peer");
    } catch (const error& failure) {
        log.request(io::log_level::warning, "rate_limit_unreadable",
                    {{"peer", std::string(peer)}, {"reason", failure.what()}});
    }
}

} // namespace

json format_rate_limits(std::span<const versioned_rate_limit> limits)
{
    json list = json::array();
    for (const auto& limit : limits)
        list.push_back(to_json(limit));
    return list;
}

void apply_rate_limits(const json& list, std::string_view peer,
                       cluster_view& cluster, router_log& log, time_point now)
{
    for (const auto& each : list)
        apply_rate_limit(each, peer, cluster, log, now);
}

} // namespace vanillapost::router
