#include "peers/peer_controller.hpp"

#include "vanillapost/src/io/detail/cbor.hpp"

#include <algorithm>
#include <utility>

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;
using io::detail::parse_message;
using io::detail::write_message;
using nlohmann::json;

/// Interval of an instance that follows the store: peers rely on it only while
/// they hear it.
constexpr duration reader_heartbeat = 250ms;
/// How long an instance without state waits for a peer that has some, before
/// it reads the store itself.
constexpr duration peer_state_wait = 700ms;
/// Between hellos to the seeds, which may start a little later.
constexpr duration hello_interval = 100ms;
/// After this time all missing changes are requested at once. Before, lost
/// changes are requested by their revisions (\ref gap_repair).
constexpr duration full_request_delay = 2s;
constexpr duration member_list_interval = 10s;
/// How often an instance without live peers reads the members from the store.
constexpr duration member_read_interval = 5s;
/// Until the next request after one that was refused or not answered.
constexpr duration request_retry_delay = 200ms;
/// An instance that starts knows the members after one round trip. A peer that
/// is not busy then answers with its state within this time.
constexpr duration first_state_timeout = 150ms;
/// Heartbeats that every member has to receive are sent again after this time,
/// because one may be lost.
constexpr duration repeat_delay = 300ms;
/// After so many differing views of the members in a row, the list of members
/// is requested from a peer: two instances that join at the same moment may
/// each have got a list without the other, and neither would ever hear of it.
constexpr int max_differing_views = 8;
constexpr duration view_request_interval = 5s;

} // namespace

peer_controller::peer_controller(io::event_loop& loop,
                                 const io::address& address,
                                 std::vector<std::string> seeds,
                                 cluster_view& cluster, state_controller& state,
                                 router_metrics& metrics, router_log& log,
                                 random_engine random)
    : loop_(loop), cluster_(cluster), state_(state), metrics_(metrics),
      log_(log), random_(random),
      socket_(loop, address,
              [this](const io::address& from, std::string_view bytes) {
                  handle_datagram(from, bytes);
              }),
      departures_(
          loop, cluster, metrics, log, random_engine(random_()),
          [this](const json& message) { send_to_peers("departure", message); }),
      limits_(loop, cluster, log,
              [this](const json& message) { send_to_peers("limit", message); }),
      crashes_(
          loop,
          [this](const json& message) { send_to_peers("crash", message); }),
      rollouts_([this](std::string_view kind, const member& to,
                       std::string_view bytes) { send(kind, to, bytes); }),
      quotas_([this](const entry_id& to, const json& message) {
          send_to_member("quota", to, message);
      }),
      monitor_(
          loop, cluster, metrics, log, random_engine(random_()),
          {[this](const member& to) { send_probe_to(to); },
           [this](const member& to, const json& message) {
               send("doubt", to, write_message(message));
           },
           [this](const json& message) { send_to_peers("death", message); },
           [this] { send_heartbeat(); }}),
      changes_(loop, cluster, state, random_engine(random_()),
               {[this](std::string_view kind, const member& to,
                       std::string_view bytes) { send(kind, to, bytes); },
                [this](std::string_view kind, const io::address& to,
                       std::string_view bytes) { answer(kind, to, bytes); },
                [this](const io::address& peer) { request_state_from(peer); }}),
      state_request_(loop, state, metrics, log,
                     [this](state_request_outcome outcome) {
                         on_state_request_finished(outcome);
                     }),
      join_timer_(loop, [this] { join(); }),
      heartbeat_timer_(loop, [this] { run_heartbeat(); }),
      state_request_timer_(loop, [this] { request_state_if_behind(); }),
      repeat_timer_(loop, [this] { send_heartbeat_once(); }),
      store_read_timer_(loop, [this] { read_store_if_incomplete(); }),
      discovery_(cluster, std::move(seeds), address.port,
                 [this](const io::address& to, bool reply_wanted) {
                     send_hello(to, reply_wanted);
                 }),
      reader_(loop.now()), started_(loop.now())
{
}

void peer_controller::start()
{
    if (discovery_.is_seed()) {
        reader_.need_store(started_);
        state_.follow_store();
    }
    monitor_.start();
    join();
}

// Sends hellos to the seeds until a peer answers or `peer_state_wait` is over.
void peer_controller::join()
{
    const auto now = loop_.now();
    const bool is_alone = cluster_.members.live_peers(now).empty();
    if (!is_alone || now >= started_ + peer_state_wait) {
        run_heartbeat();
        return;
    }
    join_timer_.start_once(hello_interval);
    discovery_.contact_seeds();
}

void peer_controller::set_ready(bool ready)
{
    if (ready_ == ready)
        return;
    ready_ = ready;
    send_heartbeat();
}

void peer_controller::on_reach_changed()
{
    send_heartbeat();
}

void peer_controller::leave()
{
    leaving_ = true;
    ready_ = false;
    send_heartbeat();
}

duration peer_controller::interval() const
{
    const auto usual = cluster_.members.heartbeat_interval();
    return state_.is_following() ? std::min(reader_heartbeat, usual) : usual;
}

member_heartbeat peer_controller::make_heartbeat() const
{
    member_heartbeat result;
    result.name = cluster_.members.self().name;
    result.incarnation = cluster_.members.self().incarnation;
    result.ready = ready_;
    result.leaving = leaving_;
    result.following = state_.is_following();
    result.store = state_.access();
    result.revisions = state_.revisions();
    result.is_probed = cluster_.members.is_large();
    result.is_idle = cluster_.is_idle();
    result.is_cut_off = cluster_.is_cut_off();
    return result;
}

void peer_controller::run_heartbeat()
{
    // Errors must not stop the heartbeats: peers declare a silent instance
    // dead.
    loop_.guard("exchange heartbeats with peers", "",
                [this] { run_periodic_tasks(); });
    heartbeat_timer_.start_once(interval());
}

void peer_controller::run_periodic_tasks()
{
    const auto now = loop_.now();
    if (cluster_.members.advance(now))
        cluster_.refresh_members(now);
    choose_state_source();
    // Called for its effect: it records that the configuration is the newest,
    // while readers are heard. The record stays valid through an outage.
    state_.has_newest_configuration();
    state_.report_lateness();
    const bool is_large = cluster_.members.is_large();
    const bool idle_changed = cluster_.update_idle(now);
    if (std::exchange(was_large_, is_large) != is_large || idle_changed)
        send_heartbeat();
    else if (!is_large || state_.is_following())
        send_heartbeat_once();
    discovery_.send_due_hellos(now);
    request_state_if_behind();
    store_member_list();
}

// Decides whether this instance follows the store itself.
void peer_controller::choose_state_source()
{
    if (leaving_)
        return;
    const auto now = loop_.now();
    const auto live = cluster_.members.live_peers(now);
    const bool follow =
        reader_.should_follow(cluster_.members.self().name, state_.access(),
                              state_.revisions(), live, now);
    if (follow)
        state_.follow_store();
    else
        state_.stop_following();
    const bool recently_read =
        members_read_at_ && now < *members_read_at_ + member_read_interval;
    if (live.empty() && !recently_read) {
        members_read_at_ = now;
        state_.read_members();
    }
}

void peer_controller::send(std::string_view kind, const member& to,
                           std::string_view bytes)
{
    const bool crosses = to.data_centre != cluster_.members.self().data_centre;
    metrics_.count_peer_bytes(kind, crosses, bytes.size());
    socket_.send(io::parse_address(to.peer_address), bytes);
}

void peer_controller::answer(std::string_view kind, const io::address& to,
                             std::string_view bytes)
{
    // Counted as sent within the data centre: most requests come from there,
    // and looking up the receiver's data centre is not worth the cost.
    metrics_.count_peer_bytes(kind, false, bytes.size());
    socket_.send(to, bytes);
}

void peer_controller::send_to_member(std::string_view kind, const entry_id& to,
                                     const json& message)
{
    if (const auto* peer = cluster_.members.find_live(to, loop_.now()))
        send(kind, *peer, write_message(message));
}

void peer_controller::send_to_peers(std::string_view kind, const json& message)
{
    const auto bytes = write_message(message);
    for (const auto& peer : cluster_.members.peers())
        send(kind, peer, bytes);
}

// Sends what all peers have to know at once. In a large fleet it is repeated,
// because no regular heartbeat follows.
void peer_controller::send_heartbeat()
{
    send_heartbeat_once();
    if (cluster_.members.is_large())
        repeat_timer_.start_once(repeat_delay);
}

void peer_controller::send_heartbeat_once()
{
    // In a large fleet few members send heartbeats, and to all peers; rate
    // limits and views are sent with the probes there.
    send_to_peers("heartbeat",
                  cluster_.members.is_large()
                      ? json{{"heartbeat", to_json(make_heartbeat())}}
                      : with_limits(make_heartbeat_with_view()));
}

// A heartbeat message with some of the rate limits, which the peer may have
// missed.
json peer_controller::with_limits(const member_heartbeat& heartbeat)
{
    json message = {{"heartbeat", to_json(heartbeat)}};
    limits_.add_to(message);
    return message;
}

member_heartbeat peer_controller::make_heartbeat_with_view() const
{
    auto heartbeat = make_heartbeat();
    heartbeat.view_digest = cluster_.members.view_digest(loop_.now());
    return heartbeat;
}

void peer_controller::send_probe_to(const member& to)
{
    auto message = with_limits(make_heartbeat_with_view());
    message["probe"] = true;
    send("probe", to, write_message(message));
}

// Answers a probe. `held_dead`: this instance had declared the sender dead.
void peer_controller::send_probe_reply(const io::address& to, bool held_dead)
{
    auto message = with_limits(make_heartbeat_with_view());
    message["held_dead"] = held_dead;
    socket_.send(to, write_message(message));
}

void peer_controller::send_hello(const io::address& to, bool reply_wanted)
{
    auto message = with_limits(make_heartbeat());
    message["hello"] = to_json(cluster_.members.self());
    crashes_.add_to(message);
    message["ask"] = reply_wanted;
    socket_.send(to, write_message(message));
}

// When changes were not sent completely, a heartbeat shows peers the new
// revision, and they request what they lack. A whole table is not sent at all:
// it does not contain rows that were added and removed again before it was
// read.
void peer_controller::distribute_change(replicated_table which,
                                        const state_difference& difference)
{
    if (!changes_.distribute(which, difference))
        send_heartbeat_once();
}

void peer_controller::handle_datagram(const io::address& from,
                                      std::string_view bytes)
{
    try {
        handle_message(from, parse_message(bytes));
    } catch (const std::exception& failure) {
        log_.request(
            io::log_level::warning, "datagram_unreadable",
            {{"peer", io::to_string(from)}, {"reason", failure.what()}});
    }
}

void peer_controller::handle_message(const io::address& from,
                                     const json& message)
{
    // It looks like one about rate limits to instances of earlier versions.
    if (rollout_relay::is_message(message)) {
        rollouts_.handle(message);
        return;
    }
    limits_.handle(message, from.ip);
    if (message.contains("hello")) {
        handle_hello(from, message);
        return;
    }
    if (message.contains("heartbeat")) {
        handle_heartbeat(from, message);
        return;
    }
    if (message.contains("leaving")) {
        departures_.handle(message);
        return;
    }
    if (rate_limit_relay::has_rate_limits(message))
        return;
    if (quota_relay::is_message(message)) {
        quotas_.handle(message, [&](const json& reply) {
            answer("quota", from, write_message(reply));
        });
        return;
    }
    if (crash_relay::is_message(message)) {
        crashes_.handle(message, from.ip);
        return;
    }
    if (member_monitor::is_detector_message(message)) {
        monitor_.handle(message);
        return;
    }
    changes_.handle(from, message);
}

void peer_controller::handle_hello(const io::address& from, const json& message)
{
    state_.add_member(message.at("hello"));
    if (!std::exchange(hello_received_, true))
        store_read_timer_.start_once(first_state_timeout);
    if (message.at("ask").get<bool>())
        send_hello(from, false);
    handle_heartbeat(from, message);
    crashes_.handle(message, from.ip);
}

void peer_controller::handle_heartbeat(const io::address& from,
                                       const json& message)
{
    const auto heartbeat = parse_member_heartbeat(message.at("heartbeat"));
    const auto now = loop_.now();
    const bool held_dead = cluster_.members.is_dead(heartbeat.name);
    if (!cluster_.members.on_heartbeat(heartbeat, now)) {
        send_hello(from, true);
        return;
    }
    monitor_.on_message_from(heartbeat.name);
    if (message.value("probe", false))
        send_probe_reply(from, held_dead);
    if (message.value("held_dead", false))
        send_heartbeat();
    if (cluster_.members.advance(now))
        cluster_.refresh_members(now);
    check_member_view(heartbeat);
    state_.on_peer_revisions(heartbeat.revisions);
    changes_.look_for_gaps();
    const bool knows_nothing = state_.revisions() == state_revisions{};
    const bool must_request = knows_nothing || state_.lacks_restored_copy();
    if (must_request && !state_request_.is_pending())
        state_request_timer_.start_once(duration(1));
}

void peer_controller::request_state_if_behind()
{
    const bool is_due =
        !members_received_ || state_.is_late(full_request_delay) ||
        state_.lacks_restored_copy() || changes_.awaits_oversized_change();
    if (state_request_.is_pending() || !is_due)
        return;
    std::vector<member> candidates;
    for (const auto& peer : cluster_.members.live_peers(loop_.now()))
        if (!members_received_ ||
            state_.revisions().is_behind(peer.heartbeat.revisions))
            candidates.push_back(peer.who);
    if (!candidates.empty())
        state_request_.start(candidates[random_() % candidates.size()],
                             !members_received_);
}

// Requests all missing changes from a peer that announced an oversized one.
void peer_controller::request_state_from(const io::address& from)
{
    const auto address = io::to_string(from);
    const auto peers = cluster_.members.peers();
    const auto found = std::ranges::find(peers, address, &member::peer_address);
    if (found != peers.end() && !state_request_.is_pending())
        state_request_.start(*found, false);
}

// When many instances start together, no peer can send its state to all of them
// in time, but the store can serve them all.
void peer_controller::read_store_if_incomplete()
{
    if (!state_.is_complete())
        state_.read_once();
}

void peer_controller::on_state_request_finished(state_request_outcome outcome)
{
    const bool must_retry = outcome == state_request_outcome::busy ||
                            outcome == state_request_outcome::unanswered;
    if (must_retry) {
        read_store_if_incomplete();
        state_request_timer_.start_once(request_retry_delay);
        return;
    }
    members_received_ =
        members_received_ || outcome == state_request_outcome::taken;
    if (outcome == state_request_outcome::taken)
        changes_.on_state_received();
    // Other peers may run the same incompatible version, so that only the store
    // can tell the state.
    if (outcome == state_request_outcome::unreadable)
        reader_.need_store(loop_.now());
    choose_state_source();
}

// Views differ briefly after each change of the members, so a single difference
// is ignored.
void peer_controller::check_member_view(const member_heartbeat& heartbeat)
{
    const auto now = loop_.now();
    if (heartbeat.view_digest == 0)
        return;
    if (heartbeat.view_digest == cluster_.members.view_digest(now)) {
        differing_views_ = 0;
        return;
    }
    const bool due = ++differing_views_ >= max_differing_views &&
                     now >= view_requested_at_ + view_request_interval;
    const auto* peer = cluster_.members.find_live(heartbeat.name, now);
    if (!due || !peer || !is_worth_asking(*peer) || state_request_.is_pending())
        return;
    view_requested_at_ = now;
    differing_views_ = 0;
    state_request_.start(*peer, true);
}

// The list of a large fleet is long, so that it stays in the data centre.
bool peer_controller::is_worth_asking(const member& peer) const
{
    return !cluster_.members.is_large() ||
           peer.data_centre == cluster_.members.self().data_centre;
}

// Only one reader writes the list to the store: the first by name.
void peer_controller::store_member_list()
{
    const auto now = loop_.now();
    if (!state_.is_following() || state_.access() != store_access::works ||
        now < started_ + member_list_interval / 2 ||
        now < stored_members_at_ + member_list_interval)
        return;
    const auto live = cluster_.members.live_peers(now);
    const bool first = std::ranges::none_of(live, [&](const auto& each) {
        return each.heartbeat.following &&
               each.who.name < cluster_.members.self().name;
    });
    std::vector<member> list;
    for (const auto& each : live)
        list.push_back(each.who);
    const auto epoch = state_.store_epoch();
    const bool is_stored =
        list == stored_members_ && epoch == stored_members_epoch_;
    if (!first || is_stored)
        return;
    stored_members_ = std::move(list);
    stored_members_epoch_ = epoch;
    stored_members_at_ = now;
    state_.write_members();
}

} // namespace vanillapost::router
