#include "peers/rate_limit_relay.hpp"

#include "state/rate_limit_messages.hpp"

namespace vanillapost::router {

namespace {

using nlohmann::json;

constexpr const char* field = "limits";
/// Size of the limits in one message. They only repair what was lost, and most
/// of these messages go to another data centre.
constexpr std::size_t max_piggyback_bytes = 300;

} // namespace

rate_limit_relay::rate_limit_relay(io::event_loop& loop, cluster_view& cluster,
                                   router_log& log, send_handler send_to_all)
    : loop_(loop), cluster_(cluster), log_(log),
      send_to_all_(std::move(send_to_all))
{
}

void rate_limit_relay::on_rate_limit(const target_id& id,
                                     rate_limit_change change)
{
    if (change != rate_limit_change::named)
        return;
    if (const auto limit = cluster_.targets.limits().find_versioned(id))
        send_to_all_({{field, format_rate_limits({&*limit, 1})}});
}

void rate_limit_relay::add_to(json& message)
{
    const auto limits =
        cluster_.targets.limits().next_batch(max_piggyback_bytes, loop_.now());
    if (!limits.empty())
        message[field] = format_rate_limits(limits);
}

bool rate_limit_relay::has_rate_limits(const json& message)
{
    return message.contains(field);
}

void rate_limit_relay::handle(const json& message, std::string_view peer)
{
    if (message.contains(field))
        apply_rate_limits(message.at(field), peer, cluster_, log_, loop_.now());
}

} // namespace vanillapost::router
