#include "peers/change_relay.hpp"

#include "vanillapost/src/base/error.hpp"
#include "vanillapost/src/io/detail/cbor.hpp"

#include <map>

namespace vanillapost::router {

namespace {

using io::detail::write_message;
using nlohmann::json;

/// Fits into a packet on its way.
constexpr std::size_t max_relay_bytes = 1200;
/// Beyond so many datagrams for one change, peers ask for it.
constexpr std::size_t max_parts = 64;
/// Members of a data centre that pass a change on there: one may have just
/// died.
constexpr std::size_t delegates = 2;

std::string_view name_of(shared_table which)
{
    return which == shared_table::operators ? "operators" : "targets";
}

shared_table parse_table_name(const json& name)
{
    for (const auto which : {shared_table::operators, shared_table::targets})
        if (name == name_of(which))
            return which;
    throw error("read change", "", "a table of another name");
}

std::string format(shared_table which, const state_difference& part,
                   bool to_delegate)
{
    json message = {{"table", name_of(which)}, {"change", to_message(part)}};
    if (to_delegate)
        message["pass_on"] = true;
    return write_message(message);
}

} // namespace

change_relay::change_relay(io::event_loop& loop, knowledge& known,
                           state_controller& state, random_engine random,
                           send_handler send)
    : loop_(loop), known_(known), state_(state), random_(random),
      send_(std::move(send))
{
}

bool change_relay::pass_on(shared_table which,
                           const state_difference& difference)
{
    const auto parts = split(difference, max_relay_bytes);
    if (parts.empty() || parts.size() > max_parts)
        return false;
    for (const auto& part : parts) {
        if (known_.members.is_large()) {
            send_to_delegates(format(which, part, true));
            continue;
        }
        const auto bytes = format(which, part, false);
        for (const auto& peer : known_.members.peers())
            send_(peer, bytes);
    }
    return true;
}

void change_relay::send_to(const data_centre_id& data_centre,
                           std::string_view bytes)
{
    for (const auto& peer : known_.members.peers())
        if (peer.data_centre == data_centre)
            send_(peer, bytes);
}

void change_relay::send_to_delegates(const std::string& bytes)
{
    std::map<data_centre_id, std::vector<member>> peers;
    for (const auto& each : known_.members.live_peers(loop_.now()))
        peers[each.who.data_centre].push_back(each.who);
    for (auto& [data_centre, members] : peers) {
        std::ranges::shuffle(members, random_);
        for (std::size_t i = 0; i < std::min(delegates, members.size()); ++i)
            send_(members[i], bytes);
    }
}

void change_relay::take(const json& message, std::string_view peer)
{
    const auto which = parse_table_name(message.at("table"));
    const auto part = parse_state_difference(message.at("change"));
    const bool is_new = state_.merge(which, part, peer);
    if (is_new && message.value("pass_on", false))
        send_to(known_.members.self().data_centre, format(which, part, false));
}

} // namespace vanillapost::router
