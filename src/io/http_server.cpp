#include "vanillapost/src/io/http_server.hpp"

#include "vanillapost/src/base/error.hpp"
#include "vanillapost/src/io/detail/error_answers.hpp"
#include "vanillapost/src/io/detail/http_method.hpp"
#include "vanillapost/src/io/detail/server_state.hpp"
#include "vanillapost/src/io/detail/socket.hpp"

#include <cstring>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

namespace vanillapost::io {

namespace {

// evhttp takes larger headers than allowed, so that the refusal can say 431
// where evhttp would only say 400.
constexpr std::size_t header_slack = 2;
// A colon, a space and the end of the line.
constexpr std::size_t header_field_overhead = 4;
constexpr int listen_backlog = 1024;
constexpr duration sweep_interval = std::chrono::milliseconds(100);
/// A request that takes longer to arrive has no client who waits for it.
constexpr duration longest_reading = std::chrono::seconds(60);
/// An answer of which a part is unread all that time has no client who needs
/// it.
constexpr duration longest_unread = std::chrono::minutes(5);
// Room beyond a whole request, for what follows on the same connection.
constexpr std::size_t pipelining_slack_bytes = 16 * 1024;

std::unique_ptr<server_exchange::state> read_request(evhttp_request* request,
                                                     evhttp_connection* from)
{
    auto made = std::make_unique<server_exchange::state>();
    made->type = evhttp_request_get_command(request);
    made->target = evhttp_request_get_uri(request);
    evkeyvalq* headers = evhttp_request_get_input_headers(request);
    for (evkeyval* h = headers->tqh_first; h; h = h->next.tqe_next)
        made->headers.push_back({h->key, h->value});
    evbuffer* body = evhttp_request_get_input_buffer(request);
    made->body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, made->body.data(), made->body.size());
    char* ip = nullptr;
    ev_uint16_t port = 0;
    evhttp_connection_get_peer(from, &ip, &port);
    made->peer = to_string(address{ip ? ip : "", port});
    return made;
}

std::size_t header_bytes(evhttp_request* request)
{
    std::size_t bytes = std::strlen(evhttp_request_get_uri(request));
    evkeyvalq* headers = evhttp_request_get_input_headers(request);
    for (evkeyval* h = headers->tqh_first; h; h = h->next.tqe_next)
        bytes +=
            std::strlen(h->key) + std::strlen(h->value) + header_field_overhead;
    return bytes;
}

// evhttp stops reading while a request is being answered, and so would not
// notice that the caller went away. Read on, up to the watermark, without
// parsing what comes.
void watch_for_close(bufferevent* stream)
{
    bufferevent_data_cb read = nullptr;
    bufferevent_data_cb write = nullptr;
    bufferevent_event_cb event = nullptr;
    void* context = nullptr;
    bufferevent_getcb(stream, &read, &write, &event, &context);
    bufferevent_setcb(stream, nullptr, write, event, context);
    bufferevent_enable(stream, EV_READ);
}

// Nothing is read while an answer is made, so only writing has a timeout.
void set_read_timeout(bufferevent* stream, duration idle, bool reading)
{
    timeval limit = detail::to_timeval(idle);
    bufferevent_set_timeouts(stream, reading ? &limit : nullptr, &limit);
}

bufferevent* make_stream(event_base* base, void* self)
{
    auto& server = *static_cast<http_server::state*>(self);
    auto& limits = server.limits;
    // Its descriptor must not be used for another connection while the stream
    // is still there.
    bufferevent* stream =
        bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setwatermark(stream, EV_READ, 0,
                             limits.max_body_bytes +
                                 header_slack * limits.max_header_bytes +
                                 pipelining_slack_bytes);
    detail::watch_error_pages(stream);
    server.loop.guard("accept connection", "",
                      [&] { server.take_stream(stream); });
    return stream;
}

void on_request(evhttp_request* request, void* self)
{
    auto& server = *static_cast<http_server::state*>(self);
    server.loop.guard("accept request", "",
                      [&] { server.accept_request(request); });
}

void on_connection_closed(evhttp_connection*, void* self)
{
    auto& connection = *static_cast<detail::server_connection*>(self);
    auto& server = *connection.owner;
    server.loop.guard("end connection", "",
                      [&] { server.connection_closed(connection); });
}

void on_answer_complete(evhttp_request*, void* self)
{
    auto& connection = *static_cast<detail::server_connection*>(self);
    auto& server = *connection.owner;
    server.loop.guard("end request", "",
                      [&] { server.request_ended(connection); });
}

} // namespace

void http_server::state::configure()
{
    if (!stream_host.ledger)
        stream_host.ledger = &own_ledger;
    stream_host.max_head_bytes = header_slack * limits.max_header_bytes;
    stream_host.now = [this] { return loop.now(); };
    sweep = std::make_unique<timer>(loop, [this] { check_streams(); });
    sweep->start_every(sweep_interval);
    http.reset(evhttp_new(loop.base()));
    if (!http)
        throw error("start HTTP server", "", "evhttp gave no server");
    evhttp_set_allowed_methods(http.get(), detail::all_methods());
    evhttp_set_max_headers_size(
        http.get(),
        static_cast<ev_ssize_t>(header_slack * limits.max_header_bytes));
    evhttp_set_max_body_size(http.get(),
                             static_cast<ev_ssize_t>(limits.max_body_bytes));
    evhttp_set_default_content_type(http.get(), nullptr);
    timeval idle = detail::to_timeval(limits.idle_timeout);
    evhttp_set_timeout_tv(http.get(), &idle);
    evhttp_set_gencb(http.get(), &on_request, this);
    evhttp_set_bevcb(http.get(), &make_stream, this);
}

void http_server::state::take_stream(bufferevent* stream)
{
    // If there is none, one is closed later: evhttp knows it only then.
    stream_host.ledger->make_place(loop.now());
    streams[stream] =
        std::make_unique<detail::held_stream>(stream_host, stream);
}

detail::held_stream* http_server::state::stream_of(evhttp_connection* handle)
{
    const auto found = streams.find(evhttp_connection_get_bufferevent(handle));
    return found == streams.end() ? nullptr : found->second.get();
}

void http_server::state::check_streams()
{
    std::erase_if(streams,
                  [](const auto& each) { return each.second->is_closed(); });
    const auto now = loop.now();
    for (const auto& [_, stream] : streams)
        check_time(*stream, now);
    while (stream_host.ledger->is_over())
        if (!stream_host.ledger->make_place(now))
            break;
}

// A byte now and then keeps the time-outs of evhttp from ending it.
void http_server::state::check_time(detail::held_stream& stream, time_point now)
{
    using detail::client_state;
    const auto held = stream.hold();
    const auto wait = now - held.since;
    const bool is_slow =
        (held.state == client_state::reading && wait > longest_reading) ||
        (held.state == client_state::unread && wait > longest_unread);
    if (is_slow)
        stream.close_for_room();
}

detail::server_connection&
http_server::state::connection_of(evhttp_request* request)
{
    auto* handle = evhttp_request_get_connection(request);
    auto& slot = connections[handle];
    if (!slot) {
        slot = std::make_unique<detail::server_connection>();
        slot->owner = this;
        slot->handle = handle;
        evhttp_connection_set_closecb(handle, &on_connection_closed,
                                      slot.get());
    }
    return *slot;
}

void http_server::state::accept_request(evhttp_request* request)
{
    auto& connection = connection_of(request);
    connection.request = request;
    ++in_flight;
    if (auto* held = stream_of(connection.handle))
        held->begin_request();
    evhttp_request_set_on_complete_cb(request, &on_answer_complete,
                                      &connection);
    auto* stream = evhttp_connection_get_bufferevent(connection.handle);
    set_read_timeout(stream, limits.idle_timeout, false);
    watch_for_close(stream);
    detail::unwatch_error_pages(stream);
    if (refuse_excess(request))
        return;
    auto made = read_request(request, connection.handle);
    made->connection = &connection;
    connection.exchange = made.get();
    const auto step = "answer " + made->target;
    const auto peer = made->peer;
    loop.guard(step, peer, [&] {
        handle(std::make_unique<server_exchange>(std::move(made)));
    });
}

bool http_server::state::refuse_excess(evhttp_request* request)
{
    if (connections.size() > static_cast<std::size_t>(limits.max_connections)) {
        detail::send_problem(
            request, {503, "Service Unavailable", "too many connections", 1});
        return true;
    }
    if (header_bytes(request) > limits.max_header_bytes) {
        detail::send_problem(request, {431, "Request Header Fields Too Large",
                                       "the headers are too large"});
        return true;
    }
    return false;
}

void http_server::state::request_ended(detail::server_connection& connection)
{
    connection.request = nullptr;
    --in_flight;
    if (auto* held = stream_of(connection.handle))
        held->end_request();
    auto* stream = evhttp_connection_get_bufferevent(connection.handle);
    set_read_timeout(stream, limits.idle_timeout, true);
    detail::watch_error_pages(stream);
}

void http_server::state::connection_closed(
    detail::server_connection& connection)
{
    auto* request = connection.request;
    if (request) {
        --in_flight;
        // evhttp has let go of a request that was still being answered.
        if (!evhttp_request_get_connection(request))
            evhttp_request_free(request);
    }
    std::function<void()> abort;
    if (connection.exchange) {
        abort = std::move(connection.exchange->on_abort);
        connection.exchange->detach();
    }
    // Its stream may be on the stack; it is erased at the next look.
    if (auto* held = stream_of(connection.handle))
        held->stop();
    connections.erase(connection.handle);
    if (abort)
        abort();
}

http_server::http_server(event_loop& loop, http_server_limits limits,
                         handler handle, client_ledger* ledger)
    : state_(new state{loop, limits, std::move(handle)})
{
    state_->stream_host.ledger = ledger;
    state_->configure();
}

http_server::~http_server()
{
    for (auto& [handle, connection] : state_->connections) {
        evhttp_connection_set_closecb(handle, nullptr, nullptr);
        if (connection->exchange)
            connection->exchange->detach();
        if (connection->request)
            evhttp_request_set_on_complete_cb(connection->request, nullptr,
                                              nullptr);
    }
}

address http_server::listen(const address& where)
{
    constexpr std::string_view step = "listen for HTTP";
    auto* bound = evhttp_bind_socket_with_handle(state_->http.get(),
                                                 where.ip.c_str(), where.port);
    if (!bound)
        throw error(step, to_string(where), detail::last_error_text());
    state_->bound.push_back(bound);
    auto fd = evhttp_bound_socket_get_fd(bound);
    // Connections inherit it from the listening socket.
    detail::set_no_delay(fd);
    ::listen(fd, listen_backlog);
    return detail::local_address(fd);
}

void http_server::stop_accepting()
{
    state_->stopping = true;
    for (auto* bound : state_->bound)
        evhttp_del_accept_socket(state_->http.get(), bound);
    state_->bound.clear();
}

std::size_t http_server::in_flight() const
{
    return state_->in_flight;
}

} // namespace vanillapost::io
