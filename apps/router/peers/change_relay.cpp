#include "peers/change_relay.hpp"

#include "peers/change_messages.hpp"

#include <algorithm>
#include <map>

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/// Changes that need more datagrams are not sent; peers request them.
constexpr std::size_t max_parts = 512;
/// The datagrams of a larger change are spread over time and go to fewer
/// delegates. Each reader sends them in a random order of its own. Smaller
/// changes are sent immediately, ahead of the queue.
constexpr std::size_t large_change_threshold = 16;
/// Members of each data centre that forward a change there. One of two may have
/// just died. One is enough for the parts of a large change, because the other
/// readers send them too.
constexpr std::size_t default_delegates = 2;
constexpr std::size_t large_change_delegates = 1;
/// A slow link carries one batch in each interval.
constexpr std::size_t batch_datagrams = 5;
constexpr duration batch_interval = 5ms;
/// How often it is checked whether a repair request is due.
constexpr duration repair_check_interval = 10ms;

constexpr std::array<replicated_table, 2> tables = {replicated_table::operators,
                                                    replicated_table::targets};

std::uint64_t revision_of(replicated_table which, const state_revisions& known)
{
    return which == replicated_table::operators ? known.operators
                                                : known.targets;
}

} // namespace

change_relay::change_relay(io::event_loop& loop, cluster_view& cluster,
                           state_controller& state, random_engine random,
                           relay_callbacks callbacks)
    : loop_(loop), cluster_(cluster), state_(state), random_(random),
      callbacks_(std::move(callbacks)),
      queue_timer_(loop, [this] { send_batch(); }),
      repair_timer_(loop, [this] { request_repairs(); }),
      repairs_{gap_repair(random_engine(random_())),
               gap_repair(random_engine(random_()))}
{
}

bool change_relay::distribute(replicated_table which,
                              const state_difference& difference)
{
    auto parts = split(difference, max_payload_bytes);
    if (parts.size() > max_parts)
        return false;
    const bool complete = covers(parts, difference);
    const bool is_large = parts.size() > large_change_threshold;
    if (is_large)
        std::ranges::shuffle(parts, random_);
    const bool queue_was_empty = queue_.empty();
    for (const auto& part : parts) {
        auto bytes = format_change(which, part, cluster_.members.is_large());
        if (is_large)
            queue_.push_back(std::move(bytes));
        else
            send(bytes, default_delegates);
    }
    if (is_large && queue_was_empty)
        send_batch();
    if (!complete)
        send(format_oversized_change({which, difference.revision, true}),
             default_delegates);
    return complete;
}

std::size_t change_relay::send(std::string_view bytes, std::size_t delegates)
{
    return cluster_.members.is_large() ? send_to_delegates(bytes, delegates)
                                       : send_to_all(bytes);
}

void change_relay::send_batch()
{
    std::size_t sent = 0;
    while (sent < batch_datagrams && !queue_.empty()) {
        sent += send(queue_.front(), large_change_delegates);
        queue_.pop_front();
    }
    if (!queue_.empty())
        queue_timer_.start_once(batch_interval);
}

std::size_t change_relay::send_to_all(std::string_view bytes)
{
    const auto peers = cluster_.members.peers();
    for (const auto& peer : peers)
        callbacks_.send("change", peer, bytes);
    return peers.size();
}

void change_relay::send_to_data_centre(std::string_view bytes)
{
    const auto& own = cluster_.members.self().data_centre;
    for (const auto& peer : cluster_.members.peers())
        if (peer.data_centre == own)
            callbacks_.send("change", peer, bytes);
}

std::size_t change_relay::send_to_delegates(std::string_view bytes,
                                            std::size_t delegates)
{
    std::map<data_centre_id, std::vector<member>> peers;
    for (const auto& peer : cluster_.members.live_peers(loop_.now()))
        peers[peer.who.data_centre].push_back(peer.who);
    std::size_t sent = 0;
    for (auto& [data_centre, members] : peers) {
        std::ranges::shuffle(members, random_);
        const auto count = std::min(delegates, members.size());
        for (std::size_t i = 0; i < count; ++i)
            callbacks_.send("change", members[i], bytes);
        sent += count;
    }
    return sent;
}

void change_relay::handle(const io::address& from, const json& message)
{
    if (is_repair_request(message))
        answer_repair_request(from, message);
    else if (is_oversized_change(message))
        handle_oversized_change(from, parse_oversized_change(message));
    else
        handle_change(message, from.ip);
}

void change_relay::handle_change(const json& message, std::string_view peer)
{
    const auto received = parse_change(message);
    const bool is_new = state_.merge(received.table, received.change, peer);
    if (is_new && received.pass_on)
        send_to_data_centre(
            format_change(received.table, received.change, false));
    look_for_gaps();
}

void change_relay::handle_oversized_change(const io::address& from,
                                           const oversized_change& notice)
{
    if (revision_of(notice.table, state_.revisions()) >= notice.revision)
        return;
    // A newer change supersedes an earlier one that is still awaited.
    const bool pass_on = notice.pass_on || (awaited_ && awaited_->pass_on);
    awaited_ = notice;
    awaited_->pass_on = pass_on;
    callbacks_.request_state(from);
}

bool change_relay::awaits_oversized_change() const
{
    return awaited_ && revision_of(awaited_->table, state_.revisions()) <
                           awaited_->revision;
}

void change_relay::on_state_received()
{
    if (!awaited_ || awaits_oversized_change())
        return;
    if (std::exchange(awaited_->pass_on, false))
        send_to_data_centre(format_oversized_change(*awaited_));
    awaited_.reset();
}

void change_relay::answer_repair_request(const io::address& from,
                                         const json& message)
{
    const auto request = parse_repair_request(message);
    std::vector<state_difference> parts;
    bool fits = true;
    for (const auto& each :
         state_.changes_within(request.table, request.spans)) {
        const auto pieces = each.rows.empty()
                                ? std::vector<state_difference>{each}
                                : split(each, max_payload_bytes);
        fits = fits && covers(pieces, each);
        parts.insert(parts.end(), pieces.begin(), pieces.end());
    }
    if (!fits)
        callbacks_.answer(
            "repair", from,
            format_oversized_change(
                {request.table, request.spans.back().upto, false}));
    const auto count = budget_.take(parts.size(), loop_.now());
    for (std::size_t i = 0; i < count; ++i)
        callbacks_.answer("repair", from,
                          format_change(request.table, parts[i], false));
}

void change_relay::look_for_gaps()
{
    if (repairing_)
        return;
    repairing_ = std::ranges::any_of(
        tables, [&](auto which) { return !state_.gaps(which).empty(); });
    if (repairing_)
        request_repairs();
}

void change_relay::request_repairs()
{
    repairing_ = false;
    for (const auto which : tables)
        request_repair(which);
    if (repairing_)
        repair_timer_.start_once(repair_check_interval);
}

void change_relay::request_repair(replicated_table which)
{
    auto gaps = state_.gaps(which);
    auto& repair = repairs_[static_cast<std::size_t>(which)];
    const auto now = loop_.now();
    const bool is_due = !gaps.empty() && now >= repair.due();
    const auto peer = repair.next(
        gaps, cluster_.members.self(),
        is_due ? cluster_.members.live_peers(now) : std::vector<peer_status>{},
        [which](const peer_status& each) {
            return revision_of(which, each.heartbeat.revisions);
        },
        now);
    repairing_ = repairing_ || !gaps.empty();
    if (!peer)
        return;
    if (gaps.size() > gap_repair::max_spans)
        gaps.resize(gap_repair::max_spans);
    callbacks_.send("question", *peer,
                    format_repair_request({which, std::move(gaps)}));
}

} // namespace vanillapost::router
