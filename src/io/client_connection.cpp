#include "vanillapost/src/io/detail/client_connection.hpp"

#include "vanillapost/src/base/error.hpp"
#include "vanillapost/src/io/detail/http_method.hpp"
#include "vanillapost/src/io/detail/socket.hpp"

#include <algorithm>
#include <cerrno>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <string_view>
#include <utility>

namespace vanillapost::io::detail {

namespace {

constexpr int status_continue = 100;

client_connection& connection_of(void* self)
{
    return *static_cast<client_connection*>(self);
}

// A target with spaces or control characters would split the request.
void check_target(std::string_view target, const address& peer)
{
    bool valid = !target.empty() && std::ranges::all_of(target, [](char c) {
        return static_cast<unsigned char>(c) > ' ' && c != 0x7f;
    });
    if (!valid)
        throw error("start call", to_string(peer),
                    "the request target has spaces or control characters");
}

} // namespace

client_connection::client_connection(event_loop& loop, const address& peer,
                                     const http_client_limits& limits,
                                     on_idle idle)
    : loop_(loop), peer_(peer), limits_(limits), idle_(std::move(idle)),
      timer_(loop, [this] { handle_timer(); })
{
}

client_connection::~client_connection()
{
    if (handle_)
        evhttp_connection_set_closecb(handle_.get(), nullptr, nullptr);
}

void client_connection::open()
{
    stream_ = bufferevent_socket_new(loop_.base(), -1, 0);
    handle_.reset(evhttp_connection_base_bufferevent_new(
        loop_.base(), nullptr, stream_, peer_.ip.c_str(), peer_.port));
    if (!handle_)
        throw error("open connection", to_string(peer_), "out of memory");
    evhttp_connection_set_retries(handle_.get(), 0);
    evhttp_connection_set_max_headers_size(
        handle_.get(), static_cast<ev_ssize_t>(limits_.max_header_bytes));
    evhttp_connection_set_closecb(handle_.get(), &handle_close, this);
}

void client_connection::send(const http_request& request,
                             call_handlers handlers, duration timeout)
{
    check_target(request.target, peer_);
    handlers_ = std::move(handlers);
    bool is_new = !handle_;
    if (is_new)
        open();
    error_.reset();
    has_headers_ = false;
    handler_failed_ = false;
    paused_ = false;
    busy_ = true;
    starting_ = true;
    evhttp_make_request(handle_.get(), make_request(request),
                        to_evhttp_method(request.method),
                        request.target.c_str());
    starting_ = false;
    if (is_new && !pending_failure_)
        watch_connect();
    timer_.start_once(pending_failure_ ? duration::zero() : timeout);
}

evhttp_request* client_connection::make_request(const http_request& request)
{
    evhttp_request* made = evhttp_request_new(&handle_answer, this);
    evhttp_request_set_header_cb(made, &handle_headers);
    evhttp_request_set_chunked_cb(made, &handle_data);
    evhttp_request_set_error_cb(made, &handle_error);
    auto* headers = evhttp_request_get_output_headers(made);
    for (const auto& field : request.headers)
        evhttp_add_header(headers, field.name.c_str(), field.value.c_str());
    if (!find_header(request.headers, "Host"))
        evhttp_add_header(headers, "Host", to_string(peer_).c_str());
    if (!request.body.empty()) {
        auto* body = evhttp_request_get_output_buffer(made);
        evbuffer_add(body, request.body.data(), request.body.size());
        if (!find_header(request.headers, "Content-Length"))
            evhttp_add_header(headers, "Content-Length",
                              std::to_string(request.body.size()).c_str());
    }
    return made;
}

// evhttp does not say why a connection attempt failed. Its event callback is
// put behind one that looks at the reason first.
void client_connection::watch_connect()
{
    bufferevent_data_cb read = nullptr;
    bufferevent_data_cb write = nullptr;
    bufferevent_getcb(stream_, &read, &write, &connect_callback_,
                      &connect_context_);
    bufferevent_setcb(stream_, read, write, &handle_connect, this);
    refused_at_once_ = is_refused_at_once(bufferevent_getfd(stream_));
    timeval limit = to_timeval(limits_.connect_timeout);
    bufferevent_set_timeouts(stream_, nullptr, &limit);
}

void client_connection::handle_connect(bufferevent* stream, short what,
                                       void* self)
{
    auto& connection = connection_of(self);
    connection.note_connect(what);
    bufferevent_setcb(stream, nullptr, nullptr, connection.connect_callback_,
                      connection.connect_context_);
    connection.connect_callback_(stream, what, connection.connect_context_);
    // From here on the call's own timer decides.
    bufferevent_set_timeouts(stream, nullptr, nullptr);
}

void client_connection::note_connect(short what)
{
    if (what & BEV_EVENT_CONNECTED) {
        connected_ = true;
        set_no_delay(bufferevent_getfd(stream_));
        if (limits_.keep_alive_probes)
            set_keep_alive_probes(bufferevent_getfd(stream_));
        return;
    }
    refused_ = (what & BEV_EVENT_ERROR) &&
               (refused_at_once_ || EVUTIL_SOCKET_ERROR() == ECONNREFUSED);
    if (refused_)
        connect_error_ = "connection refused";
    else if (what & BEV_EVENT_TIMEOUT)
        connect_error_ = "no connection in time";
    else
        connect_error_ = last_error_text();
}

void client_connection::fail_later(call_handlers handlers, call_failure failure)
{
    handlers_ = std::move(handlers);
    busy_ = true;
    pending_failure_ = std::move(failure);
    timer_.start_once(duration::zero());
}

void client_connection::abandon()
{
    abandoned_ = true;
    busy_ = false;
    timer_.cancel();
}

void client_connection::pause()
{
    paused_ = true;
    if (stream_)
        bufferevent_disable(stream_, EV_READ);
}

void client_connection::resume()
{
    if (!std::exchange(paused_, false))
        return;
    if (stream_ && connected_)
        bufferevent_enable(stream_, EV_READ);
}

bool client_connection::is_reusable() const
{
    return !closed_ && !is_closed_by_peer(bufferevent_getfd(stream_));
}

// A call whose handler fails has no usable answer.
template <class Callback>
void client_connection::guard(std::string_view step, const Callback& callback)
{
    if (!loop_.guard(step, to_string(peer_), callback))
        handler_failed_ = true;
}

int client_connection::handle_headers(evhttp_request* request, void* self)
{
    auto& connection = connection_of(self);
    connection.guard("take headers",
                     [&] { connection.deliver_headers(request); });
    return 0;
}

void client_connection::deliver_headers(evhttp_request* request)
{
    int status = evhttp_request_get_response_code(request);
    if (!busy_ || status == status_continue)
        return;
    has_headers_ = true;
    header_list list;
    evkeyvalq* headers = evhttp_request_get_input_headers(request);
    for (evkeyval* h = headers->tqh_first; h; h = h->next.tqe_next)
        list.push_back({h->key, h->value});
    if (handlers_.on_headers)
        handlers_.on_headers(status, list);
}

void client_connection::handle_data(evhttp_request* request, void* self)
{
    auto& connection = connection_of(self);
    connection.guard("take data", [&] { connection.deliver_data(request); });
}

void client_connection::deliver_data(evhttp_request* request)
{
    evbuffer* input = evhttp_request_get_input_buffer(request);
    while (busy_ && evbuffer_get_length(input) > 0) {
        auto bytes = evbuffer_get_contiguous_space(input);
        auto* data = evbuffer_pullup(input, static_cast<ev_ssize_t>(bytes));
        if (handlers_.on_data)
            handlers_.on_data({reinterpret_cast<char*>(data), bytes});
        evbuffer_drain(input, bytes);
    }
}

void client_connection::handle_error(evhttp_request_error error, void* self)
{
    connection_of(self).error_ = error;
}

void client_connection::handle_close(evhttp_connection*, void* self)
{
    auto& connection = connection_of(self);
    connection.closed_ = true;
    if (!connection.busy_ && !connection.abandoned_)
        connection.guard("end connection",
                         [&] { connection.idle_(connection, false); });
}

void client_connection::handle_answer(evhttp_request* request, void* self)
{
    auto& connection = connection_of(self);
    connection.guard("take answer", [&] { connection.take_answer(request); });
}

void client_connection::take_answer(evhttp_request* request)
{
    if (!busy_)
        return;
    if (!request || evhttp_request_get_response_code(request) == 0) {
        finish(describe_failure());
        return;
    }
    deliver_data(request);
    if (!busy_)
        return;
    if (handler_failed_)
        finish(call_failure{call_failure_kind::bad_answer, true,
                            "its handler failed"});
    else
        finish(std::nullopt);
}

call_failure client_connection::describe_failure() const
{
    using kind = call_failure_kind;
    if (!connected_)
        return {refused_ ? kind::refused : kind::connect_timeout, false,
                connect_error_.empty() ? "no connection" : connect_error_};
    if (error_ == EVREQ_HTTP_TIMEOUT)
        return {kind::timeout, true, "no whole answer in time"};
    if (error_ == EVREQ_HTTP_INVALID_HEADER ||
        error_ == EVREQ_HTTP_DATA_TOO_LONG)
        return {kind::bad_answer, true, "malformed or oversized answer"};
    if (has_headers_)
        return {kind::truncated, true, "the answer broke off"};
    return {kind::reset, true, "connection closed before the answer"};
}

void client_connection::handle_timer()
{
    if (pending_failure_)
        return finish(std::exchange(pending_failure_, std::nullopt));
    if (connected_)
        return finish(call_failure{call_failure_kind::timeout, true,
                                   "no whole answer in time"});
    finish(call_failure{call_failure_kind::connect_timeout, false,
                        "no connection in time"});
}

void client_connection::finish(std::optional<call_failure> failure)
{
    if (starting_) {
        pending_failure_ = std::move(failure);
        return;
    }
    busy_ = false;
    timer_.cancel();
    idle_since_ = loop_.now();
    // A handler may start the next call on this very connection.
    auto handlers = std::exchange(handlers_, {});
    idle_(*this, !failure && !closed_);
    if (failure && handlers.on_failure)
        handlers.on_failure(*failure);
    if (!failure && handlers.on_done)
        handlers.on_done();
}

} // namespace vanillapost::io::detail
