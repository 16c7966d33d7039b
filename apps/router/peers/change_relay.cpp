#include "peers/change_relay.hpp"

#include "peers/change_messages.hpp"

#include <algorithm>
#include <map>

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/// Beyond so many datagrams for one change, peers ask for it.
constexpr std::size_t max_parts = 512;
/// A change of more datagrams is spread over time, each reader in an order of
/// its own, and each datagram goes to fewer. Smaller ones do not wait for it.
constexpr std::size_t large_change = 16;
/// Members of a data centre that pass a change on there: one may have just
/// died. The parts of a large change come from other readers, too.
constexpr std::size_t usual_delegates = 2;
constexpr std::size_t large_change_delegates = 1;
/// A slow link carries so many datagrams in that time.
constexpr std::size_t datagrams_at_once = 5;
constexpr duration parcel_interval = 5ms;
/// How often it is looked whether a question is due.
constexpr duration look_interval = 10ms;

constexpr std::array<shared_table, 2> tables = {shared_table::operators,
                                                shared_table::targets};

std::uint64_t revision_of(shared_table which, const state_revisions& known)
{
    return which == shared_table::operators ? known.operators : known.targets;
}

} // namespace

change_relay::change_relay(io::event_loop& loop, knowledge& known,
                           state_controller& state, random_engine random,
                           relay_links links)
    : loop_(loop), known_(known), state_(state), random_(random),
      links_(std::move(links)), parcel_timer_(loop, [this] { send_next(); }),
      ask_timer_(loop, [this] { ask(); }),
      repairs_{gap_repair(random_engine(random_())),
               gap_repair(random_engine(random_()))}
{
}

bool change_relay::pass_on(shared_table which,
                           const state_difference& difference)
{
    auto parts = split(difference, max_datagram_bytes);
    if (parts.size() > max_parts)
        return false;
    const bool complete = covers(parts, difference);
    const bool is_large = parts.size() > large_change;
    if (is_large)
        std::ranges::shuffle(parts, random_);
    const bool is_idle = parcels_.empty();
    for (const auto& part : parts) {
        auto bytes = format_change(which, part, known_.members.is_large());
        if (is_large)
            parcels_.push_back(std::move(bytes));
        else
            send(bytes, usual_delegates);
    }
    if (is_large && is_idle)
        send_next();
    if (!complete)
        send(format_long_change({which, difference.revision, true}),
             usual_delegates);
    return complete;
}

std::size_t change_relay::send(std::string_view bytes, std::size_t delegates)
{
    return known_.members.is_large() ? send_to_delegates(bytes, delegates)
                                     : send_to_all(bytes);
}

void change_relay::send_next()
{
    std::size_t sent = 0;
    while (sent < datagrams_at_once && !parcels_.empty()) {
        sent += send(parcels_.front(), large_change_delegates);
        parcels_.pop_front();
    }
    if (!parcels_.empty())
        parcel_timer_.start_once(parcel_interval);
}

std::size_t change_relay::send_to_all(std::string_view bytes)
{
    const auto peers = known_.members.peers();
    for (const auto& peer : peers)
        links_.send("change", peer, bytes);
    return peers.size();
}

void change_relay::send_to_data_centre(std::string_view bytes)
{
    const auto& own = known_.members.self().data_centre;
    for (const auto& peer : known_.members.peers())
        if (peer.data_centre == own)
            links_.send("change", peer, bytes);
}

std::size_t change_relay::send_to_delegates(std::string_view bytes,
                                            std::size_t delegates)
{
    std::map<data_centre_id, std::vector<member>> peers;
    for (const auto& peer : known_.members.live_peers(loop_.now()))
        peers[peer.who.data_centre].push_back(peer.who);
    std::size_t sent = 0;
    for (auto& [data_centre, members] : peers) {
        std::ranges::shuffle(members, random_);
        const auto count = std::min(delegates, members.size());
        for (std::size_t i = 0; i < count; ++i)
            links_.send("change", members[i], bytes);
        sent += count;
    }
    return sent;
}

void change_relay::take(const io::address& from, const json& message)
{
    if (is_question(message))
        answer(from, message);
    else if (is_long_change(message))
        take_long_change(from, parse_long_change(message));
    else
        take_change(message, from.ip);
}

void change_relay::take_change(const json& message, std::string_view peer)
{
    const auto told = parse_change(message);
    const bool is_new = state_.merge(told.table, told.change, peer);
    if (is_new && told.pass_on)
        send_to_data_centre(format_change(told.table, told.change, false));
    look_for_gaps();
}

void change_relay::take_long_change(const io::address& from,
                                    const long_change& news)
{
    if (revision_of(news.table, state_.revisions()) >= news.revision)
        return;
    // News of a newer one stands for those before it.
    const bool pass_on = news.pass_on || (awaited_ && awaited_->pass_on);
    awaited_ = news;
    awaited_->pass_on = pass_on;
    links_.ask_all(from);
}

bool change_relay::awaits_long_change() const
{
    return awaited_ && revision_of(awaited_->table, state_.revisions()) <
                           awaited_->revision;
}

void change_relay::on_state_told()
{
    if (!awaited_ || awaits_long_change())
        return;
    if (std::exchange(awaited_->pass_on, false))
        send_to_data_centre(format_long_change(*awaited_));
    awaited_.reset();
}

void change_relay::answer(const io::address& from, const json& message)
{
    const auto asked = parse_question(message);
    std::vector<state_difference> parts;
    bool fits = true;
    for (const auto& each : state_.within(asked.table, asked.spans)) {
        const auto cut = each.rows.empty() ? std::vector<state_difference>{each}
                                           : split(each, max_datagram_bytes);
        fits = fits && covers(cut, each);
        parts.insert(parts.end(), cut.begin(), cut.end());
    }
    if (!fits)
        links_.answer(
            "repair", from,
            format_long_change({asked.table, asked.spans.back().upto, false}));
    const auto count = budget_.take(parts.size(), loop_.now());
    for (std::size_t i = 0; i < count; ++i)
        links_.answer("repair", from,
                      format_change(asked.table, parts[i], false));
}

void change_relay::look_for_gaps()
{
    if (asking_)
        return;
    asking_ = std::ranges::any_of(
        tables, [&](auto which) { return !state_.gaps(which).empty(); });
    if (asking_)
        ask();
}

void change_relay::ask()
{
    asking_ = false;
    for (const auto which : tables)
        ask_for(which);
    if (asking_)
        ask_timer_.start_once(look_interval);
}

void change_relay::ask_for(shared_table which)
{
    auto gaps = state_.gaps(which);
    auto& repair = repairs_[static_cast<std::size_t>(which)];
    const auto now = loop_.now();
    const bool is_due = !gaps.empty() && now >= repair.due();
    const auto peer = repair.next(
        gaps, known_.members.self(),
        is_due ? known_.members.live_peers(now) : std::vector<known_member>{},
        [which](const known_member& each) {
            return revision_of(which, each.heartbeat.revisions);
        },
        now);
    asking_ = asking_ || !gaps.empty();
    if (!peer)
        return;
    if (gaps.size() > gap_repair::max_spans)
        gaps.resize(gap_repair::max_spans);
    links_.send("question", *peer, format_question({which, std::move(gaps)}));
}

} // namespace vanillapost::router
