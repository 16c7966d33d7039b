#include "vanillapost/src/io/http_server.hpp"

#include "vanillapost/src/base/error.hpp"
#include "vanillapost/src/io/detail/http_method.hpp"
#include "vanillapost/src/io/detail/socket.hpp"

#include <algorithm>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <sys/socket.h>
#include <unordered_map>

namespace vanillapost::io {

namespace {

constexpr int status_unavailable = 503;
constexpr int listen_backlog = 1024;
// Room beyond a whole request, for what follows on the same connection.
constexpr std::size_t pipelining_slack_bytes = 16 * 1024;

using buffer_ptr = std::unique_ptr<evbuffer, decltype(&evbuffer_free)>;

bool has_body(evhttp_cmd_type type, int status)
{
    return type != EVHTTP_REQ_HEAD && status != 204 && status != 304 &&
           status >= 200;
}

/// One caller's connection, from its first request until it closes.
struct server_connection
{
    http_server::state* owner = nullptr;
    evhttp_connection* handle = nullptr;
    evhttp_request* request = nullptr; ///< null between requests
    server_exchange::state* exchange = nullptr;
};

} // namespace

struct server_exchange::state
{
    server_connection* connection = nullptr; ///< null once closed or answered
    std::string_view method;
    evhttp_cmd_type type = EVHTTP_REQ_GET;
    std::string target;
    header_list headers;
    std::string body;
    std::string peer;
    std::function<void()> on_abort;
    std::function<void()> on_drained;
    /// Bytes of a Content-Length still to come; absent when chunked.
    std::optional<std::uint64_t> remaining;
    bool body_wanted = true;
    bool started = false;

    evhttp_request* request() const
    {
        return connection->request;
    }

    bufferevent* stream() const
    {
        return evhttp_connection_get_bufferevent(connection->handle);
    }

    void detach()
    {
        if (connection)
            connection->exchange = nullptr;
        connection = nullptr;
    }

    /// Hands what the kernel takes to it, so that a caller can resume a
    /// broken-off answer where it stopped.
    void flush()
    {
        evbuffer* out = bufferevent_get_output(stream());
        evbuffer_unfreeze(out, 1);
        evbuffer_write(out, bufferevent_getfd(stream()));
    }

    /// Ends the connection; evhttp sees that and frees its side.
    void close()
    {
        if (!connection)
            return;
        flush();
        ::shutdown(bufferevent_getfd(stream()), SHUT_RDWR);
        detach();
    }

    void add_headers(std::span<const header_field> list);
    void drained();
};

struct http_server::state
{
    event_loop& loop;
    http_server_limits limits;
    handler handle;
    std::unique_ptr<evhttp, decltype(&evhttp_free)> http{nullptr, &evhttp_free};
    std::vector<evhttp_bound_socket*> bound = {};
    std::unordered_map<evhttp_connection*, std::unique_ptr<server_connection>>
        connections = {};
    std::size_t in_flight = 0;
    bool stopping = false;

    void configure();
    void accept_request(evhttp_request* request);
    server_connection& connection_of(evhttp_request* request);
    void refuse(evhttp_request* request);
    void request_ended(server_connection& connection);
    void connection_closed(server_connection& connection);
};

namespace {

std::unique_ptr<server_exchange::state> read_request(evhttp_request* request,
                                                     evhttp_connection* from)
{
    auto made = std::make_unique<server_exchange::state>();
    made->type = evhttp_request_get_command(request);
    made->method = detail::method_name(made->type);
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
    auto& limits = static_cast<http_server::state*>(self)->limits;
    bufferevent* stream = bufferevent_socket_new(base, -1, 0);
    bufferevent_setwatermark(stream, EV_READ, 0,
                             limits.max_body_bytes + limits.max_header_bytes +
                                 pipelining_slack_bytes);
    return stream;
}

void on_request(evhttp_request* request, void* self)
{
    static_cast<http_server::state*>(self)->accept_request(request);
}

void on_connection_closed(evhttp_connection*, void* self)
{
    auto& connection = *static_cast<server_connection*>(self);
    connection.owner->connection_closed(connection);
}

void on_answer_complete(evhttp_request*, void* self)
{
    auto& connection = *static_cast<server_connection*>(self);
    connection.owner->request_ended(connection);
}

void on_chunk_written(evhttp_connection*, void* self)
{
    auto* exchange = static_cast<server_connection*>(self)->exchange;
    if (exchange)
        exchange->drained();
}

} // namespace

void http_server::state::configure()
{
    http.reset(evhttp_new(loop.base()));
    if (!http)
        throw error("start HTTP server", "", "evhttp gave no server");
    evhttp_set_allowed_methods(http.get(), detail::all_methods());
    evhttp_set_max_headers_size(
        http.get(), static_cast<ev_ssize_t>(limits.max_header_bytes));
    evhttp_set_max_body_size(http.get(),
                             static_cast<ev_ssize_t>(limits.max_body_bytes));
    evhttp_set_default_content_type(http.get(), nullptr);
    timeval idle = detail::to_timeval(limits.idle_timeout);
    evhttp_set_timeout_tv(http.get(), &idle);
    evhttp_set_gencb(http.get(), &on_request, this);
    evhttp_set_bevcb(http.get(), &make_stream, this);
}

server_connection& http_server::state::connection_of(evhttp_request* request)
{
    auto* handle = evhttp_request_get_connection(request);
    auto& slot = connections[handle];
    if (!slot) {
        slot = std::make_unique<server_connection>();
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
    evhttp_request_set_on_complete_cb(request, &on_answer_complete,
                                      &connection);
    auto* stream = evhttp_connection_get_bufferevent(connection.handle);
    set_read_timeout(stream, limits.idle_timeout, false);
    watch_for_close(stream);
    if (connections.size() > static_cast<std::size_t>(limits.max_connections))
        return refuse(request);
    auto made = read_request(request, connection.handle);
    made->connection = &connection;
    connection.exchange = made.get();
    handle(std::make_unique<server_exchange>(std::move(made)));
}

void http_server::state::refuse(evhttp_request* request)
{
    auto* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Connection", "close");
    evhttp_add_header(headers, "Retry-After", "1");
    evhttp_add_header(headers, "Content-Type", "application/problem+json");
    buffer_ptr body(evbuffer_new(), &evbuffer_free);
    evbuffer_add_printf(
        body.get(),
        R"({"type":"about:blank","title":"Service Unavailable","status":503,)"
        R"("detail":"too many connections","step":"accept","ran":"no",)"
        R"("retry_after_ms":1000})");
    evhttp_send_reply(request, status_unavailable, nullptr, body.get());
}

void http_server::state::request_ended(server_connection& connection)
{
    connection.request = nullptr;
    --in_flight;
    set_read_timeout(evhttp_connection_get_bufferevent(connection.handle),
                     limits.idle_timeout, true);
}

void http_server::state::connection_closed(server_connection& connection)
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
    connections.erase(connection.handle);
    if (abort)
        abort();
}

void server_exchange::state::add_headers(std::span<const header_field> list)
{
    auto* out = evhttp_request_get_output_headers(request());
    for (const auto& field : list)
        evhttp_add_header(out, field.name.c_str(), field.value.c_str());
    if (connection->owner->stopping)
        evhttp_add_header(out, "Connection", "close");
}

void server_exchange::state::drained()
{
    // The handler may destroy the exchange.
    if (auto notify = on_drained)
        notify();
}

server_exchange::server_exchange(std::unique_ptr<state> impl)
    : state_(std::move(impl))
{
}

server_exchange::~server_exchange()
{
    state_->close();
}

std::string_view server_exchange::method() const
{
    return state_->method;
}

std::string_view server_exchange::path() const
{
    std::string_view target = state_->target;
    return target.substr(0, target.find('?'));
}

std::string_view server_exchange::query() const
{
    std::string_view target = state_->target;
    auto mark = target.find('?');
    return mark == std::string_view::npos ? "" : target.substr(mark + 1);
}

std::string server_exchange::query_value(std::string_view name) const
{
    evkeyvalq parsed{};
    std::string text(query());
    if (evhttp_parse_query_str(text.c_str(), &parsed) != 0)
        return "";
    const char* found = evhttp_find_header(&parsed, std::string(name).c_str());
    std::string value = found ? found : "";
    evhttp_clear_headers(&parsed);
    return value;
}

std::span<const header_field> server_exchange::headers() const
{
    return state_->headers;
}

std::string_view server_exchange::body() const
{
    return state_->body;
}

std::string server_exchange::peer() const
{
    return state_->peer;
}

void server_exchange::on_abort(std::function<void()> handler)
{
    state_->on_abort = std::move(handler);
}

void server_exchange::reply(int status, std::span<const header_field> headers,
                            std::string_view body)
{
    if (!state_->connection)
        return;
    state_->add_headers(headers);
    buffer_ptr out(evbuffer_new(), &evbuffer_free);
    evbuffer_add(out.get(), body.data(), body.size());
    auto* request = state_->request();
    state_->detach();
    evhttp_send_reply(request, status, nullptr, out.get());
}

void server_exchange::start(int status, std::span<const header_field> headers)
{
    if (!state_->connection)
        return;
    state_->started = true;
    state_->body_wanted = has_body(state_->type, status);
    if (auto length = find_header(headers, "Content-Length")) {
        std::uint64_t bytes = 0;
        std::from_chars(length->data(), length->data() + length->size(), bytes);
        state_->remaining = bytes;
    }
    state_->add_headers(headers);
    evhttp_send_reply_start(state_->request(), status, nullptr);
}

void server_exchange::write(std::string_view data)
{
    if (!state_->connection || !state_->body_wanted || data.empty())
        return;
    if (state_->remaining) {
        data = data.substr(
            0, std::min<std::uint64_t>(data.size(), *state_->remaining));
        *state_->remaining -= data.size();
    }
    buffer_ptr out(evbuffer_new(), &evbuffer_free);
    evbuffer_add(out.get(), data.data(), data.size());
    evhttp_send_reply_chunk_with_cb(state_->request(), out.get(),
                                    &on_chunk_written, state_->connection);
}

void server_exchange::finish()
{
    if (!state_->connection)
        return;
    // Fewer bytes than promised: the caller has to see that they are missing.
    if (state_->body_wanted && state_->remaining.value_or(0) > 0)
        return state_->close();
    auto* request = state_->request();
    state_->detach();
    evhttp_send_reply_end(request);
}

std::size_t server_exchange::pending_bytes() const
{
    if (!state_->connection)
        return 0;
    return evbuffer_get_length(bufferevent_get_output(state_->stream()));
}

void server_exchange::on_drained(std::function<void()> handler)
{
    state_->on_drained = std::move(handler);
}

http_server::http_server(event_loop& loop, http_server_limits limits,
                         handler handle)
    : state_(new state{loop, limits, std::move(handle)})
{
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
