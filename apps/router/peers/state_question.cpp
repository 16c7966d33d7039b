#include "peers/state_question.hpp"

#include "vanillapost/src/io/detail/cbor.hpp"

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;

constexpr duration question_timeout = 800ms;
constexpr std::size_t max_answer_bytes = std::size_t{32} * 1024 * 1024;
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

std::string_view to_string(question_end how)
{
    switch (how) {
    case question_end::taken:
        return "taken";
    case question_end::busy:
        return "busy";
    case question_end::unreadable:
        return "unreadable";
    case question_end::unanswered:
        break;
    }
    return "unanswered";
}

} // namespace

state_question::state_question(io::event_loop& loop, state_controller& state,
                               router_metrics& metrics, router_log& log,
                               std::function<void(question_end)> on_end)
    : loop_(loop), state_(state), metrics_(metrics), log_(log),
      on_end_(std::move(on_end))
{
}

void state_question::ask(const member& peer, bool members)
{
    const auto known = state_.revisions();
    answer_.clear();
    client_ = std::make_unique<io::http_client>(
        loop_, io::parse_address(peer.query_address));
    io::http_request request;
    request.target = "/v2/state?operators=" + std::to_string(known.operators) +
                     "&targets=" + std::to_string(known.targets) +
                     "&members=" + (members ? "yes" : "no");
    io::call_handlers handlers;
    handlers.on_headers = [this](int status,
                                 std::span<const io::header_field>) {
        status_ = status;
    };
    handlers.on_data = [this](std::string_view data) {
        if (answer_.size() <= max_answer_bytes)
            answer_.append(data);
    };
    const auto name = peer.name.value;
    handlers.on_done = [this, name] { take_answer(name); };
    handlers.on_failure = [this, name](const io::call_failure& failure) {
        log_.request(io::log_level::warning, "peer_did_not_tell_state",
                     {{"peer", name}, {"reason", failure.what}});
        end(question_end::unanswered);
    };
    call_ = client_->start(request, std::move(handlers), question_timeout);
}

void state_question::take_answer(const std::string& peer)
{
    if (status_ == status_unavailable) {
        log_.request(io::log_level::info, "peer_did_not_tell_state",
                     {{"peer", peer}, {"reason", "it is telling others"}});
        end(question_end::busy);
        return;
    }
    try {
        if (status_ != status_ok)
            throw error("ask for state", peer,
                        "status " + std::to_string(status_));
        state_.merge(io::detail::parse_message(answer_, max_answer_bytes),
                     peer);
        end(question_end::taken);
    } catch (const std::exception& failure) {
        log_.request(io::log_level::warning, "peer_state_unreadable",
                     {{"peer", peer}, {"reason", failure.what()}});
        end(question_end::unreadable);
    }
}

// The call is on the stack.
void state_question::end(question_end how)
{
    metrics_.count_state_question(to_string(how));
    loop_.post([this, how] {
        call_.reset();
        on_end_(how);
    });
}

} // namespace vanillapost::router
