#include "requests/request_task.hpp"

#include "targets/target_message.hpp"

#include <algorithm>
#include <iterator>

namespace vanillapost::router {

namespace {

/// The peer has to answer, or to give up, before the caller does.
constexpr duration peer_margin = std::chrono::milliseconds(20);

target_id peer_as_target(const member& peer)
{
    return {"peer " + peer.name.value};
}

} // namespace

// Hands the request to a peer that reaches targets, since this instance does
// not. Returns false if there is none, or the request may not be sent again.
bool request_task::relay()
{
    if (is_relayed_ || relayed_ || !tracker_.may_start())
        return false;
    const auto peer = choose_relay();
    if (!peer)
        return false;
    send_to_peer(*peer);
    return true;
}

// A peer of the own data centre if possible: what crosses costs more.
std::optional<member> request_task::choose_relay() const
{
    const auto& self = context_.cluster.members.self();
    auto peers = context_.cluster.members.ready_peers(context_.loop.now());
    std::erase_if(peers, [&](const member& each) {
        return std::ranges::find(tried_, peer_as_target(each)) != tried_.end();
    });
    const auto others =
        std::partition(peers.begin(), peers.end(), [&](const member& each) {
            return each.data_centre == self.data_centre;
        });
    const auto locals =
        static_cast<std::size_t>(std::distance(peers.begin(), others));
    const auto count = locals > 0 ? locals : peers.size();
    if (count == 0)
        return std::nullopt;
    return peers[context_.random() % count];
}

void request_task::send_to_peer(const member& peer)
{
    const auto now = context_.loop.now();
    auto created = std::make_unique<attempt>();
    created->target = peer_as_target(peer);
    created->sent_at = now;
    created->is_relay = true;
    io::target_call_request request;
    request.bytes = format_relayed_request(
        request_, context_.cluster.members.self(), context_.adapter.headers,
        deadline_ - now - peer_margin, tracker_.left(), authorization_);
    request.id = id_;
    request.head_only = request_.method == "HEAD";
    context_.metrics.count_attempt(service_, "relay");
    tracker_.on_started();
    auto& started = *created;
    attempts_.push_back(std::move(created));
    started.call = context_.connections.pool_of(peer).start(
        std::move(request), make_handlers(started));
    hedging_ = false;
    state_ = stage::running;
    pending_probes_.clear();
    next_check_at_ = time_point::max();
}

attempt_outcome request_task::classify(const attempt& from) const
{
    const auto& names = context_.adapter.headers;
    return from.is_relay ? classify_peer_answer(from.head, names)
                         : classify_answer(from.head, names);
}

} // namespace vanillapost::router
