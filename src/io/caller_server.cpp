#include "vanillapost/src/io/caller_server.hpp"

#include "vanillapost/src/base/error.hpp"
#include "vanillapost/src/io/detail/caller_connection.hpp"
#include "vanillapost/src/io/detail/socket.hpp"

#include <algorithm>
#include <cassert>
#include <event2/listener.h>
#include <utility>

namespace vanillapost::io {

namespace {

using namespace std::chrono_literals;

constexpr int listen_backlog = 1024;
constexpr duration sweep_interval = 500ms;
/// Connections that cannot be accepted stay ready: without descriptors the
/// loop would do nothing else.
constexpr duration accept_pause = 100ms;
/// Answers come while something of the server is on the stack; what they add is
/// looked at as often.
constexpr duration room_interval = 20ms;
constexpr int first_final_status = 200;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

bool has_body(std::string_view method, int status)
{
    return method != "HEAD" && status >= first_final_status &&
           status != status_no_content && status != status_not_modified;
}

std::string framing_line(const detail::caller_slot& slot)
{
    if (slot.until_close)
        return "";
    if (slot.chunked)
        return "Transfer-Encoding: chunked\r\n";
    return "Content-Length: " + std::to_string(slot.left) + "\r\n";
}

} // namespace

void detail::caller_slot::notify_gone(caller_exchange& owner)
{
    // Both are let go of first: the handler may destroy the exchange.
    owner.slot_ = nullptr;
    auto handler = std::exchange(owner.gone_, nullptr);
    if (handler)
        handler();
}

caller_exchange::caller_exchange(detail::caller_slot& slot) : slot_(&slot)
{
}

caller_exchange::~caller_exchange()
{
    if (!slot_)
        return;
    slot_->owner = nullptr;
    if (slot_->connection && !slot_->finished)
        slot_->connection->break_off(*slot_);
}

http_request caller_exchange::take_request()
{
    assert(slot_);
    return std::move(slot_->request);
}

time_point caller_exchange::taken_at() const
{
    assert(slot_);
    return slot_->taken_at;
}

void caller_exchange::hold_followers()
{
    if (slot_)
        slot_->holds_followers = true;
}

void caller_exchange::on_gone(std::function<void()> handler)
{
    gone_ = std::move(handler);
}

void caller_exchange::reply(int status, const header_list& headers,
                            std::string_view body)
{
    if (!slot_)
        return;
    if (begun_) {
        break_off();
        return;
    }
    begin(status, headers, body.size());
    if (slot_->has_body)
        write(body);
    finish();
}

void caller_exchange::start_body(int status,
                                 std::optional<std::uint64_t> length)
{
    begun_ = true;
    slot_->has_body = has_body(slot_->method, status);
    slot_->chunked = slot_->has_body && !length && slot_->knows_chunks;
    slot_->until_close = slot_->has_body && !length && !slot_->knows_chunks;
    if (slot_->until_close)
        slot_->keep_alive = false;
    slot_->left = slot_->has_body ? length.value_or(0) : 0;
}

// The owner knows: it is not told that its caller has gone.
void caller_exchange::break_off()
{
    auto* slot = std::exchange(slot_, nullptr);
    slot->owner = nullptr;
    slot->connection->break_off(*slot);
}

void caller_exchange::begin(int status, const header_list& headers,
                            std::optional<std::uint64_t> length)
{
    if (!slot_)
        return;
    if (begun_) {
        break_off();
        return;
    }
    start_body(status, length);
    hold_followers();
    auto& connection = *slot_->connection;
    const bool close = connection.begin_answer(*slot_);
    const auto framing = slot_->has_body ? framing_line(*slot_) : "";
    connection.send(
        *slot_, detail::format_answer_head(status, headers, framing, close));
}

void caller_exchange::write(std::string_view data)
{
    if (!slot_ || data.empty())
        return;
    auto& connection = *slot_->connection;
    if (slot_->until_close) {
        connection.send(*slot_, data);
        return;
    }
    if (!slot_->chunked) {
        if (data.size() > slot_->left) {
            break_off();
            return;
        }
        slot_->left -= data.size();
        connection.send(*slot_, data);
        return;
    }
    char size[24];
    const int digits = std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    std::string chunk(size, static_cast<std::size_t>(digits));
    chunk.append(data);
    chunk += "\r\n";
    connection.send(*slot_, chunk);
}

void caller_exchange::finish()
{
    if (!slot_)
        return;
    if (slot_->left > 0) {
        break_off();
        return;
    }
    auto* slot = std::exchange(slot_, nullptr);
    if (slot->chunked)
        slot->connection->send(*slot, "0\r\n\r\n");
    slot->owner = nullptr;
    slot->connection->finish(*slot);
}

std::size_t caller_exchange::pending_bytes() const
{
    return slot_ ? slot_->connection->pending_bytes(*slot_) : 0;
}

struct caller_server::state
{
    client_ledger own_ledger; ///< where none is shared
    detail::connection_host host;
    std::vector<std::unique_ptr<detail::caller_connection>> connections;
    std::unique_ptr<evconnlistener, decltype(&evconnlistener_free)> listener{
        nullptr, &evconnlistener_free};
    timer sweep;
    timer accept_again;
    timer room;

    state(event_loop& loop, caller_server_limits limits, handler handle,
          client_ledger* ledger)
        : sweep(loop, [this] { check_time(); }),
          accept_again(loop, [this] { resume_accepting(); }),
          room(loop, [this] { host.ledger->make_room(host.loop->now()); })
    {
        host.loop = &loop;
        host.ledger = ledger ? ledger : &own_ledger;
        host.limits = limits;
        host.bodies.set_bytes(limits.max_total_body_bytes);
        host.handle = std::move(handle);
        host.ended = [this](detail::caller_connection& each) { drop(each); };
        sweep.start_every(sweep_interval);
        room.start_every(room_interval);
    }

    static void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*,
                          int, void* self)
    {
        auto& server = *static_cast<state*>(self);
        server.host.loop->guard("accept connection", "",
                                [&] { server.accept(socket); });
    }

    static void on_accept_error(evconnlistener* listener, void* self)
    {
        auto& server = *static_cast<state*>(self);
        server.host.loop->guard("pause accepting", "", [&] {
            evconnlistener_disable(listener);
            server.accept_again.start_once(accept_pause);
        });
    }

    void resume_accepting()
    {
        if (listener)
            evconnlistener_enable(listener.get());
    }

    void accept(evutil_socket_t socket)
    {
        const bool has_place =
            connections.size() < host.limits.max_connections &&
            host.ledger->make_place(host.loop->now());
        if (!has_place) {
            evutil_closesocket(socket);
            return;
        }
        connections.push_back(
            std::make_unique<detail::caller_connection>(host, socket));
    }

    void drop(detail::caller_connection& ended)
    {
        const auto found = std::ranges::find(
            connections, &ended, [](const auto& each) { return each.get(); });
        if (found == connections.end())
            return;
        host.loop->dispose(std::move(*found));
        *found = std::move(connections.back());
        connections.pop_back();
    }

    // Connections may end on the way, which moves the last one.
    void check_time()
    {
        const auto now = host.loop->now();
        for (std::size_t i = connections.size(); i-- > 0;)
            if (i < connections.size())
                connections[i]->check_time(now);
    }
};

caller_server::caller_server(event_loop& loop, caller_server_limits limits,
                             handler handle, client_ledger* ledger)
    : state_(std::make_unique<state>(loop, limits, std::move(handle), ledger))
{
}

caller_server::~caller_server()
{
    // Exchanges may outlast the server.
    while (!state_->connections.empty())
        state_->connections.back()->break_off();
}

address caller_server::listen(const address& where)
{
    auto local = detail::to_socket_address(where);
    state_->listener.reset(evconnlistener_new_bind(
        state_->host.loop->base(), &state::on_accept, state_.get(),
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
        listen_backlog, local.get(), local.length));
    if (!state_->listener)
        throw error("listen", to_string(where), detail::last_error_text());
    evconnlistener_set_error_cb(state_->listener.get(),
                                &state::on_accept_error);
    return detail::local_address(evconnlistener_get_fd(state_->listener.get()));
}

void caller_server::set_limits(const caller_server_limits& limits)
{
    state_->host.limits = limits;
    state_->host.bodies.set_bytes(limits.max_total_body_bytes);
}

void caller_server::announce_close(bool announced)
{
    using detail::server_phase;
    auto& phase = state_->host.phase;
    if (phase != server_phase::closing)
        phase = announced ? server_phase::leaving : server_phase::serving;
}

void caller_server::stop_accepting()
{
    state_->host.phase = detail::server_phase::closing;
    state_->listener.reset();
    for (std::size_t i = state_->connections.size(); i-- > 0;)
        if (i < state_->connections.size())
            state_->connections[i]->on_server_closing();
}

std::size_t caller_server::in_flight() const
{
    return state_->host.in_flight;
}

std::size_t caller_server::body_bytes() const
{
    return state_->host.bodies.reserved();
}

std::size_t caller_server::connections() const
{
    return state_->connections.size();
}

} // namespace vanillapost::io
