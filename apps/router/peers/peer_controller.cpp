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

/// Peers rely on an instance that follows the store while they hear it.
constexpr duration reader_heartbeat = 250ms;
/// How long an instance without state waits for a peer that has some, before
/// it asks the store itself.
constexpr duration peer_wait = 700ms;
/// Seeds may start a little later than those that greet them.
constexpr duration greeting_interval = 100ms;
/// Changes that are still missing after this are asked for all at once: what
/// was lost is asked for by its revisions before (\ref gap_repair).
constexpr duration repair_time = 2s;
constexpr duration member_list_interval = 10s;
/// How often an instance that hears nobody looks for others in the store.
constexpr duration member_read_interval = 5s;
/// Until a peer is asked again after one that did not tell its state.
constexpr duration untold_delay = 200ms;
/// Whoever starts knows the members within a round trip; a peer that has time
/// then tells a state within this time.
constexpr duration first_state_limit = 150ms;
/// A heartbeat that all have to hear may be lost.
constexpr duration repeat_delay = 300ms;
/// Peers that show another view of the members so often in a row are asked for
/// theirs, where that is near: it is long.
constexpr int most_other_views = 8;
constexpr duration view_question_interval = 5s;

} // namespace

peer_controller::peer_controller(io::event_loop& loop, const io::address& where,
                                 std::vector<std::string> seeds,
                                 knowledge& known, state_controller& state,
                                 router_metrics& metrics, router_log& log,
                                 random_engine random)
    : loop_(loop), known_(known), state_(state), metrics_(metrics), log_(log),
      random_(random),
      socket_(loop, where,
              [this](const io::address& from, std::string_view bytes) {
                  take_datagram(from, bytes);
              }),
      departures_(
          loop, known, metrics, log, random_engine(random_()),
          [this](const json& message) { send_to_peers("departure", message); }),
      limits_(loop, known, log,
              [this](const json& message) { send_to_peers("limit", message); }),
      watch_(loop, known, metrics, log, random_engine(random_()),
             {[this](const member& to) { send_probe_to(to); },
              [this](const member& to, const json& message) {
                  send("doubt", to, write_message(message));
              },
              [this](const json& message) { send_to_peers("death", message); },
              [this] { send_heartbeat(); }}),
      changes_(loop, known, state, random_engine(random_()),
               {[this](std::string_view kind, const member& to,
                       std::string_view bytes) { send(kind, to, bytes); },
                [this](std::string_view kind, const io::address& to,
                       std::string_view bytes) { answer(kind, to, bytes); },
                [this](const io::address& peer) { ask_peer_at(peer); }}),
      question_(loop, state, metrics, log,
                [this](question_end how) { note_answer(how); }),
      join_timer_(loop, [this] { join(); }),
      beat_timer_(loop, [this] { beat(); }),
      ask_timer_(loop, [this] { ask_if_behind(); }),
      repeat_timer_(loop, [this] { send_heartbeat_once(); }),
      untold_timer_(loop, [this] { read_if_untold(); }),
      greeter_(
          known, std::move(seeds), where.port,
          [this](const io::address& to, bool ask) { send_hello(to, ask); }),
      reader_(loop.now()), started_(loop.now())
{
}

void peer_controller::start()
{
    if (greeter_.is_seed()) {
        reader_.need_store(started_);
        state_.follow_store();
    }
    watch_.start();
    join();
}

// Greets the seeds until one answers, or until nobody is expected to.
void peer_controller::join()
{
    const auto now = loop_.now();
    const bool alone = known_.members.live_peers(now).empty();
    if (!alone || now >= started_ + peer_wait) {
        beat();
        return;
    }
    join_timer_.start_once(greeting_interval);
    greeter_.greet_seeds();
}

void peer_controller::set_ready(bool ready)
{
    if (ready_ == ready)
        return;
    ready_ = ready;
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
    const auto usual = known_.members.heartbeat_interval();
    return state_.is_following() ? std::min(reader_heartbeat, usual) : usual;
}

member_heartbeat peer_controller::make_heartbeat() const
{
    member_heartbeat result;
    result.name = known_.members.self().name;
    result.incarnation = known_.members.self().incarnation;
    result.ready = ready_;
    result.leaving = leaving_;
    result.following = state_.is_following();
    result.store = state_.access();
    result.revisions = state_.revisions();
    result.is_probed = known_.members.is_large();
    result.is_idle = known_.is_idle();
    return result;
}

void peer_controller::beat()
{
    // Whatever fails: peers take an instance that falls silent for dead.
    loop_.guard("keep in touch with peers", "", [this] { keep_in_touch(); });
    beat_timer_.start_once(interval());
}

void peer_controller::keep_in_touch()
{
    const auto now = loop_.now();
    if (known_.members.advance(now))
        known_.refresh_members(now);
    choose_source();
    // Noted while readers are heard: it lasts through an outage.
    state_.knows_newest();
    state_.watch_lateness();
    const bool is_large = known_.members.is_large();
    const bool idle_changed = known_.update_idle(now);
    if (std::exchange(was_large_, is_large) != is_large || idle_changed)
        send_heartbeat();
    else if (!is_large || state_.is_following())
        send_heartbeat_once();
    greeter_.keep_in_touch(now);
    ask_if_behind();
    keep_member_list();
}

// Whether this instance follows the store itself.
void peer_controller::choose_source()
{
    if (leaving_)
        return;
    const auto now = loop_.now();
    const auto live = known_.members.live_peers(now);
    const bool follow =
        reader_.should_follow(known_.members.self().name, state_.access(),
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
    const bool crosses = to.data_centre != known_.members.self().data_centre;
    metrics_.count_peer_bytes(kind, crosses, bytes.size());
    socket_.send(io::parse_address(to.peer_address), bytes);
}

void peer_controller::answer(std::string_view kind, const io::address& to,
                             std::string_view bytes)
{
    // Mostly asked by near ones; which it is does not pay for a look.
    metrics_.count_peer_bytes(kind, false, bytes.size());
    socket_.send(to, bytes);
}

void peer_controller::send_to_peers(std::string_view kind, const json& message)
{
    const auto bytes = write_message(message);
    for (const auto& peer : known_.members.peers())
        send(kind, peer, bytes);
}

// What all have to know at once. In a large fleet no other heartbeat follows.
void peer_controller::send_heartbeat()
{
    send_heartbeat_once();
    if (known_.members.is_large())
        repeat_timer_.start_once(repeat_delay);
}

void peer_controller::send_heartbeat_once()
{
    // In a large fleet few send these, and to all; probes tell limits there.
    const auto heartbeat = make_heartbeat();
    send_to_peers("heartbeat", known_.members.is_large()
                                   ? json{{"heartbeat", to_json(heartbeat)}}
                                   : with_limits(heartbeat));
}

// With some of the limits, which the peer may have missed.
json peer_controller::with_limits(const member_heartbeat& heartbeat)
{
    json message = {{"heartbeat", to_json(heartbeat)}};
    limits_.add_to(message);
    return message;
}

member_heartbeat peer_controller::make_heartbeat_with_view() const
{
    auto heartbeat = make_heartbeat();
    heartbeat.view = known_.members.view(loop_.now());
    return heartbeat;
}

void peer_controller::send_probe_to(const member& to)
{
    auto message = with_limits(make_heartbeat_with_view());
    message["probe"] = true;
    send("probe", to, write_message(message));
}

// To who probed this instance.
void peer_controller::send_sign_of_life(const io::address& to, bool held_dead)
{
    auto message = with_limits(make_heartbeat_with_view());
    message["held_dead"] = held_dead;
    socket_.send(to, write_message(message));
}

void peer_controller::send_hello(const io::address& to, bool ask)
{
    auto message = with_limits(make_heartbeat());
    message["hello"] = to_json(known_.members.self());
    message["ask"] = ask;
    socket_.send(to, write_message(message));
}

// A whole table does not tell of rows that came and went before it, so peers
// that lack something ask for what they lack.
void peer_controller::pass_on(shared_table which,
                              const state_difference& difference)
{
    if (!changes_.pass_on(which, difference))
        send_heartbeat_once();
}

void peer_controller::take_datagram(const io::address& from,
                                    std::string_view bytes)
{
    try {
        take_message(from, parse_message(bytes));
    } catch (const std::exception& failure) {
        log_.request(
            io::log_level::warning, "datagram_unreadable",
            {{"peer", io::to_string(from)}, {"reason", failure.what()}});
    }
}

void peer_controller::take_message(const io::address& from, const json& message)
{
    limits_.take(message, from.ip);
    if (message.contains("hello")) {
        take_hello(from, message);
        return;
    }
    if (message.contains("heartbeat")) {
        take_heartbeat(from, message);
        return;
    }
    if (message.contains("leaving")) {
        departures_.take(message);
        return;
    }
    if (rate_limit_relay::is_for_it(message))
        return;
    if (member_watch::is_for_it(message)) {
        watch_.take(message);
        return;
    }
    changes_.take(from, message);
}

void peer_controller::take_hello(const io::address& from, const json& message)
{
    state_.add_member(message.at("hello"));
    if (!std::exchange(was_greeted_, true))
        untold_timer_.start_once(first_state_limit);
    if (message.at("ask").get<bool>())
        send_hello(from, false);
    take_heartbeat(from, message);
}

void peer_controller::take_heartbeat(const io::address& from,
                                     const json& message)
{
    const auto heartbeat = parse_member_heartbeat(message.at("heartbeat"));
    const auto now = loop_.now();
    const bool held_dead = known_.members.is_dead(heartbeat.name);
    if (!known_.members.on_heartbeat(heartbeat, now)) {
        send_hello(from, true);
        return;
    }
    watch_.on_heard(heartbeat.name);
    if (message.value("probe", false))
        send_sign_of_life(from, held_dead);
    if (message.value("held_dead", false))
        send_heartbeat();
    if (known_.members.advance(now))
        known_.refresh_members(now);
    compare_view(heartbeat);
    state_.note_known(heartbeat.revisions);
    changes_.look_for_gaps();
    const bool knows_nothing = state_.revisions() == state_revisions{};
    if (knows_nothing && !question_.is_open())
        ask_timer_.start_once(duration(1));
}

void peer_controller::ask_if_behind()
{
    const bool is_due = !members_told_ || state_.is_late(repair_time) ||
                        changes_.awaits_long_change();
    if (question_.is_open() || !is_due)
        return;
    std::vector<member> knowing;
    for (const auto& peer : known_.members.live_peers(loop_.now()))
        if (!members_told_ ||
            state_.revisions().is_behind(peer.heartbeat.revisions))
            knowing.push_back(peer.who);
    if (!knowing.empty())
        question_.ask(knowing[random_() % knowing.size()], !members_told_);
}

// A peer has changes that are too long for datagrams.
void peer_controller::ask_peer_at(const io::address& where)
{
    const auto address = io::to_string(where);
    const auto peers = known_.members.peers();
    const auto found = std::ranges::find(peers, address, &member::peer_address);
    if (found != peers.end() && !question_.is_open())
        question_.ask(*found, false);
}

// Whoever starts together with many others is told by no peer in time; the
// store can tell all of them.
void peer_controller::read_if_untold()
{
    if (!state_.is_complete())
        state_.read_once();
}

void peer_controller::note_answer(question_end how)
{
    const bool untold =
        how == question_end::busy || how == question_end::unanswered;
    if (untold) {
        read_if_untold();
        ask_timer_.start_once(untold_delay);
        return;
    }
    members_told_ = members_told_ || how == question_end::taken;
    if (how == question_end::taken)
        changes_.on_state_told();
    // Others may be like one of another version.
    if (how == question_end::unreadable)
        reader_.need_store(loop_.now());
    choose_source();
}

// Views differ for a moment after each change of the members.
void peer_controller::compare_view(const member_heartbeat& heartbeat)
{
    const auto now = loop_.now();
    if (heartbeat.view == 0)
        return;
    if (heartbeat.view == known_.members.view(now)) {
        other_views_ = 0;
        return;
    }
    const bool due = ++other_views_ >= most_other_views &&
                     now >= view_asked_at_ + view_question_interval;
    const auto* peer = known_.members.find_probed(heartbeat.name);
    const bool near =
        peer && peer->data_centre == known_.members.self().data_centre;
    if (!due || !near || question_.is_open())
        return;
    view_asked_at_ = now;
    other_views_ = 0;
    question_.ask(*peer, true);
}

// One reader leaves the list: the first by name of those that follow.
void peer_controller::keep_member_list()
{
    const auto now = loop_.now();
    if (!state_.is_following() || state_.access() != store_access::works ||
        now < started_ + member_list_interval / 2 ||
        now < listed_at_ + member_list_interval)
        return;
    const auto live = known_.members.live_peers(now);
    const bool first = std::ranges::none_of(live, [&](const auto& each) {
        return each.heartbeat.following &&
               each.who.name < known_.members.self().name;
    });
    std::vector<member> list;
    for (const auto& each : live)
        list.push_back(each.who);
    if (!first || list == listed_)
        return;
    listed_ = std::move(list);
    listed_at_ = now;
    state_.write_members();
}

} // namespace vanillapost::router
