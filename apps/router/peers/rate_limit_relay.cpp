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

rate_limit_relay::rate_limit_relay(io::event_loop& loop, knowledge& known,
                                   router_log& log, send_handler send_to_all)
    : loop_(loop), known_(known), log_(log),
      send_to_all_(std::move(send_to_all))
{
}

void rate_limit_relay::on_rate_limit(const target_id& id, rate_limit_news news)
{
    if (news != rate_limit_news::named)
        return;
    if (const auto note = known_.targets.limits().note_of(id))
        send_to_all_({{field, format_rate_limits({&*note, 1})}});
}

void rate_limit_relay::add_to(json& message)
{
    const auto notes =
        known_.targets.limits().next_to_tell(max_piggyback_bytes, loop_.now());
    if (!notes.empty())
        message[field] = format_rate_limits(notes);
}

bool rate_limit_relay::has_rate_limits(const json& message)
{
    return message.contains(field);
}

void rate_limit_relay::handle(const json& message, std::string_view peer)
{
    if (message.contains(field))
        take_rate_limits(message.at(field), peer, known_, log_, loop_.now());
}

} // namespace vanillapost::router
