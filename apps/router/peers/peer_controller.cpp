#include "peers/peer_controller.hpp"

#include "vanillapost/src/io/detail/cbor.hpp"

#include <algorithm>

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
/// A change that is passed on may still be on its way when a heartbeat tells
/// of it.
constexpr duration relay_time = 40ms;
constexpr duration question_timeout = 800ms;
/// Larger changes are asked for over a connection.
constexpr std::size_t max_relay_bytes = 1200;
/// Longest answer to a question for state.
constexpr std::size_t max_answer_bytes = std::size_t{32} * 1024 * 1024;
constexpr duration member_list_interval = 10s;
/// How often an instance that hears nobody looks for others in the store.
constexpr duration member_read_interval = 5s;
constexpr int status_ok = 200;

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
      departures_(loop, known, metrics, log, random_engine(random_()),
                  [this](const json& message) {
                      send_to_peers(write_message(message));
                  }),
      join_timer_(loop, [this] { join(); }),
      beat_timer_(loop, [this] { beat(); }),
      ask_timer_(loop, [this] { ask_if_behind(); }), seeds_(std::move(seeds)),
      peer_port_(where.port), reader_(loop.now()), started_(loop.now())
{
}

void peer_controller::start()
{
    if (is_seed()) {
        reader_.need_store(started_);
        state_.follow_store();
    }
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
    greet_seeds();
}

bool peer_controller::is_seed() const
{
    return std::ranges::find(seeds_, known_.members.self().query_address) !=
           seeds_.end();
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
    send_heartbeat();
    if (known_.members.live_peers(now).empty())
        greet_seeds();
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

void peer_controller::send_to_peers(std::string_view bytes)
{
    for (const auto& peer : known_.members.peers())
        socket_.send(io::parse_address(peer.peer_address), bytes);
}

void peer_controller::send_heartbeat()
{
    send_to_peers(write_message({{"heartbeat", to_json(make_heartbeat())}}));
}

void peer_controller::send_hello(const io::address& to, bool ask)
{
    socket_.send(to, write_message({{"hello", to_json(known_.members.self())},
                                    {"heartbeat", to_json(make_heartbeat())},
                                    {"ask", ask}}));
}

// Ports are the same on all instances.
void peer_controller::greet_seeds()
{
    for (const auto& seed : seeds_) {
        auto where = io::parse_address(seed);
        if (seed == known_.members.self().query_address)
            continue;
        where.port = peer_port_;
        send_hello(where, true);
    }
}

void peer_controller::pass_on(shared_table which,
                              const state_difference& difference)
{
    // A whole table does not tell of rows that came and went before it, so
    // peers that lack something ask for what they lack.
    if (difference.whole) {
        send_heartbeat();
        return;
    }
    const auto bytes = write_message(
        {{"table", name_of(which)}, {"change", to_message(difference)}});
    if (bytes.size() > max_relay_bytes)
        send_heartbeat();
    else
        send_to_peers(bytes);
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
    state_.merge(parse_table_name(message.at("table")),
                 parse_state_difference(message.at("change")), from.ip);
}

void peer_controller::take_hello(const io::address& from, const json& message)
{
    state_.add_member(message.at("hello"));
    if (message.at("ask").get<bool>())
        send_hello(from, false);
    take_heartbeat(from, message);
}

void peer_controller::take_heartbeat(const io::address& from,
                                     const json& message)
{
    const auto heartbeat = parse_member_heartbeat(message.at("heartbeat"));
    const auto now = loop_.now();
    if (!known_.members.on_heartbeat(heartbeat, now)) {
        send_hello(from, true);
        return;
    }
    if (known_.members.advance(now))
        known_.refresh_members(now);
    if (state_.revisions().is_behind(heartbeat.revisions) && !question_)
        ask_timer_.start_once(
            state_.revisions() == state_revisions{} ? duration(1) : relay_time);
}

void peer_controller::ask_if_behind()
{
    if (question_)
        return;
    std::vector<member> knowing;
    for (const auto& peer : known_.members.live_peers(loop_.now()))
        if (state_.revisions().is_behind(peer.heartbeat.revisions))
            knowing.push_back(peer.who);
    if (!knowing.empty())
        ask(knowing[random_() % knowing.size()]);
}

void peer_controller::ask(const member& peer)
{
    const auto known = state_.revisions();
    answer_.clear();
    asked_peer_ = std::make_unique<io::http_client>(
        loop_, io::parse_address(peer.query_address));
    io::http_request request;
    request.target = "/v2/state?operators=" + std::to_string(known.operators) +
                     "&targets=" + std::to_string(known.targets);
    io::call_handlers handlers;
    handlers.on_headers = [this](int status,
                                 std::span<const io::header_field>) {
        answer_status_ = status;
    };
    handlers.on_data = [this](std::string_view data) {
        if (answer_.size() <= max_answer_bytes)
            answer_.append(data);
    };
    const auto name = peer.name.value;
    handlers.on_done = [this, name] {
        try {
            if (answer_status_ != status_ok)
                throw error("ask for state", name,
                            "status " + std::to_string(answer_status_));
            state_.merge(parse_message(answer_, max_answer_bytes), name);
            metrics_.count_state_question("taken");
        } catch (const std::exception& failure) {
            metrics_.count_state_question("unreadable");
            log_.request(io::log_level::warning, "peer_state_unreadable",
                         {{"peer", name}, {"reason", failure.what()}});
            // Such as a peer of another version: others may be like it.
            reader_.need_store(loop_.now());
        }
        loop_.post([this] {
            question_.reset();
            choose_source();
        });
    };
    handlers.on_failure = [this, name](const io::call_failure& failure) {
        metrics_.count_state_question("unanswered");
        log_.request(io::log_level::warning, "peer_did_not_tell_state",
                     {{"peer", name}, {"reason", failure.what}});
        loop_.post([this] {
            question_.reset();
            ask_timer_.start_once(relay_time);
        });
    };
    question_ =
        asked_peer_->start(request, std::move(handlers), question_timeout);
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
