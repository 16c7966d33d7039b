#include "peers/state_request.hpp"

#include "vanillapost/src/io/detail/cbor.hpp"

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;

constexpr duration request_timeout = 800ms;
constexpr std::size_t max_response_bytes = std::size_t{32} * 1024 * 1024;
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

std::string_view to_string(state_request_outcome outcome)
{
    switch (outcome) {
    case state_request_outcome::taken:
        return "taken";
    case state_request_outcome::busy:
        return "busy";
    case state_request_outcome::unreadable:
        return "unreadable";
    case state_request_outcome::unanswered:
        break;
    }
    return "unanswered";
}

} // namespace

state_request::state_request(
    io::event_loop& loop, state_controller& state, router_metrics& metrics,
    router_log& log, std::function<void(state_request_outcome)> on_finished)
    : loop_(loop), state_(state), metrics_(metrics), log_(log),
      on_finished_(std::move(on_finished))
{
}

void state_request::start(const member& peer, bool with_members)
{
    const auto known = state_.revisions();
    response_.clear();
    client_ = std::make_unique<io::http_client>(
        loop_, io::parse_address(peer.query_address));
    io::http_request request;
    request.target = "/v2/state?operators=" + std::to_string(known.operators) +
                     "&targets=" + std::to_string(known.targets) +
                     "&members=" + (with_members ? "yes" : "no");
    io::call_handlers handlers;
    handlers.on_headers = [this](int status,
                                 std::span<const io::header_field>) {
        status_ = status;
    };
    handlers.on_data = [this](std::string_view data) {
        if (response_.size() <= max_response_bytes)
            response_.append(data);
    };
    const auto name = peer.name.value;
    handlers.on_done = [this, name] { handle_response(name); };
    handlers.on_failure = [this, name](const io::call_failure& failure) {
        log_.request(io::log_level::warning, "peer_did_not_tell_state",
                     {{"peer", name}, {"reason", failure.what}});
        finish(state_request_outcome::unanswered);
    };
    call_ = client_->start(request, std::move(handlers), request_timeout);
}

void state_request::handle_response(const std::string& peer)
{
    if (status_ == status_unavailable) {
        log_.request(io::log_level::info, "peer_did_not_tell_state",
                     {{"peer", peer}, {"reason", "it is telling others"}});
        finish(state_request_outcome::busy);
        return;
    }
    try {
        if (status_ != status_ok)
            throw error("request state", peer,
                        "status " + std::to_string(status_));
        state_.merge(io::detail::parse_message(response_, max_response_bytes),
                     peer);
        finish(state_request_outcome::taken);
    } catch (const std::exception& failure) {
        log_.request(io::log_level::warning, "peer_state_unreadable",
                     {{"peer", peer}, {"reason", failure.what()}});
        finish(state_request_outcome::unreadable);
    }
}

// This runs in a callback of the call, so the call is destroyed later.
void state_request::finish(state_request_outcome outcome)
{
    metrics_.count_state_request(to_string(outcome));
    loop_.post([this, outcome] {
        call_.reset();
        on_finished_(outcome);
    });
}

} // namespace vanillapost::router
