#include "vanillapost/src/io/detail/http_method.hpp"
#include "vanillapost/src/io/detail/server_state.hpp"

#include <algorithm>
#include <charconv>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

namespace vanillapost::io {

namespace {

using buffer_ptr = std::unique_ptr<evbuffer, decltype(&evbuffer_free)>;

constexpr int first_final_status = 200;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

bool has_body(evhttp_cmd_type type, int status)
{
    return type != EVHTTP_REQ_HEAD && status >= first_final_status &&
           status != status_no_content && status != status_not_modified;
}

void on_chunk_written(evhttp_connection*, void* self)
{
    auto* exchange = static_cast<detail::server_connection*>(self)->exchange;
    if (exchange)
        exchange->drained();
}

} // namespace

void server_exchange::state::detach()
{
    if (connection)
        connection->exchange = nullptr;
    connection = nullptr;
}

// Hands what the kernel takes to it, so that a caller can resume a broken-off
// answer where it stopped.
void server_exchange::state::flush()
{
    evbuffer* out = bufferevent_get_output(stream());
    evbuffer_unfreeze(out, 1);
    evbuffer_write(out, bufferevent_getfd(stream()));
    evbuffer_freeze(out, 1);
}

// Ends the connection; evhttp sees that and frees its side.
void server_exchange::state::close()
{
    if (!connection)
        return;
    flush();
    ::shutdown(bufferevent_getfd(stream()), SHUT_RDWR);
    detach();
}

void server_exchange::state::add_headers(std::span<const header_field> list)
{
    auto* out = evhttp_request_get_output_headers(request());
    for (const auto& field : list)
        evhttp_add_header(out, field.name.c_str(), field.value.c_str());
    if (connection->owner->stopping)
        evhttp_add_header(out, "Connection", "close");
}

// evhttp gives a length only to answers with a body.
void server_exchange::state::add_length(std::span<const header_field> given,
                                        std::size_t bytes)
{
    if (find_header(given, "Content-Length"))
        return;
    evhttp_add_header(evhttp_request_get_output_headers(request()),
                      "Content-Length", std::to_string(bytes).c_str());
}

void server_exchange::state::drained()
{
    // The handler may destroy the exchange.
    if (auto notify = on_drained)
        connection->owner->loop.guard("write on", peer, notify);
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
    return detail::method_name(state_->type);
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
    return io::query_value(query(), name);
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
    if (has_body(state_->type, status))
        evbuffer_add(out.get(), body.data(), body.size());
    else if (state_->type == EVHTTP_REQ_HEAD)
        state_->add_length(headers, body.size());
    auto* request = state_->request();
    state_->detach();
    evhttp_send_reply(request, status, nullptr, out.get());
}

void server_exchange::start(int status, std::span<const header_field> headers)
{
    if (!state_->connection)
        return;
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

} // namespace vanillapost::io
