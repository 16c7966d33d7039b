#include "peer_controller.hpp"

#include "vanillapost/src/io/detail/cbor.hpp"

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;

constexpr duration question_timeout = 1s;
/// Pause between two questions to peers while the store is away.
constexpr duration question_interval = 400ms;
constexpr int status_ok = 200;

} // namespace

peer_controller::peer_controller(io::event_loop& loop, const io::address& where,
                                 std::vector<std::string> seeds,
                                 knowledge& known, state_controller& state,
                                 router_log& log)
    : loop_(loop), known_(known), state_(state), log_(log),
      socket_(loop, where,
              [this](const io::address& from, std::string_view bytes) {
                  take_datagram(from, bytes);
              }),
      beat_timer_(loop, [this] { beat(); }), seeds_(std::move(seeds)),
      peer_port_(where.port)
{
}

void peer_controller::start()
{
    beat();
}

void peer_controller::set_ready(bool ready)
{
    if (ready_ == ready)
        return;
    ready_ = ready;
    send_status();
}

void peer_controller::leave()
{
    leaving_ = true;
    ready_ = false;
    send_status();
}

void peer_controller::beat()
{
    send_status();
    if (known_.members.advance(loop_.now()))
        after_change();
    ask_peer_if_behind();
    beat_timer_.start_once(known_.members.heartbeat_interval());
}

void peer_controller::send_status()
{
    member_status status;
    status.who = known_.members.self();
    status.ready = ready_;
    status.leaving = leaving_;
    status.configuration_version = known_.routes().config().version;
    status.state_revision = state_.revision();
    status.store_reachable = state_.is_store_reachable();
    std::vector<std::uint8_t> encoded =
        nlohmann::json::to_cbor(to_json(status));
    const std::string_view bytes(reinterpret_cast<const char*>(encoded.data()),
                                 encoded.size());
    const auto peers = known_.members.peers();
    for (const auto& peer : peers)
        socket_.send(io::parse_address(peer.peer_address), bytes);
    if (!peers.empty())
        return;
    // Nobody is known yet. Ports are the same on all instances.
    for (const auto& seed : seeds_) {
        auto where = io::parse_address(seed);
        where.port = peer_port_;
        socket_.send(where, bytes);
    }
}

void peer_controller::take_datagram(const io::address& from,
                                    std::string_view bytes)
{
    try {
        const auto status =
            parse_member_status(io::detail::parse_message(bytes));
        // Checked here, so that an address from a peer can be used later on.
        io::parse_address(status.who.peer_address);
        io::parse_address(status.who.query_address);
        if (known_.members.on_status(status, loop_.now()))
            after_change();
    } catch (const error& failure) {
        log_.request(
            io::log_level::warning, "heartbeat_unreadable",
            {{"peer", io::to_string(from)}, {"reason", failure.what()}});
    }
}

void peer_controller::after_change()
{
    known_.members.advance(loop_.now());
    known_.refresh_members(loop_.now());
}

void peer_controller::ask_peer_if_behind()
{
    const auto now = loop_.now();
    if (question_ || now < asked_at_ + question_interval)
        return;
    if (known_.is_configured() && state_.is_store_reachable())
        return;
    const member_status* best = nullptr;
    const auto live = known_.members.live_peers(now);
    for (const auto& peer : live)
        if (peer.state_revision > state_.revision() &&
            (!best || peer.state_revision > best->state_revision))
            best = &peer;
    if (!best)
        return;
    asked_at_ = now;
    answer_.clear();
    log_.state(io::log_level::info, "state_asked_of_peer",
               {{"peer", best->who.name.value},
                {"own_revision", std::to_string(state_.revision())},
                {"peer_revision", std::to_string(best->state_revision)}});
    asked_peer_ = std::make_unique<io::http_client>(
        loop_, io::parse_address(best->who.query_address));
    io::http_request request;
    request.target = "/v1/state";
    io::call_handlers handlers;
    handlers.on_data = [this](std::string_view data) { answer_.append(data); };
    handlers.on_done = [this] {
        take_snapshot(answer_);
        loop_.post([this] { question_.reset(); });
    };
    handlers.on_failure = [this](const io::call_failure& failure) {
        log_.state(io::log_level::warning, "peer_did_not_tell_state",
                   {{"reason", failure.what}});
        loop_.post([this] { question_.reset(); });
    };
    question_ =
        asked_peer_->start(request, std::move(handlers), question_timeout);
}

void peer_controller::take_snapshot(const std::string& body)
{
    try {
        state_.merge(nlohmann::json::parse(body));
    } catch (const std::exception& failure) {
        log_.state(io::log_level::warning, "peer_state_unreadable",
                   {{"reason", failure.what()}});
    }
}

} // namespace vanillapost::router
