#include "vanillapost/src/io/detail/mesh_link.hpp"

#include "vanillapost/src/base/error.hpp"
#include "vanillapost/src/io/detail/cbor.hpp"

#include <event2/buffer.h>
#include <event2/event.h>
#include <utility>

namespace vanillapost::io::detail {

namespace {

constexpr std::size_t max_name_bytes = 256;

std::string read_name(const nlohmann::json& message, const char* field)
{
    auto found = message.find(field);
    if (found == message.end() || !found->is_string())
        throw error("decode hello", field, "expected a text");
    auto text = found->get<std::string>();
    if (text.empty() || text.size() > max_name_bytes)
        throw error("decode hello", field, "empty or too long");
    return text;
}

} // namespace

nlohmann::json render_hello(const mesh_hello& hello)
{
    return {{"t", "hello"},
            {"name", hello.who.name.value},
            {"incarnation", hello.who.incarnation},
            {"address", to_string(hello.where)}};
}

mesh_hello parse_hello(const nlohmann::json& message)
{
    if (read_name(message, "t") != "hello")
        throw error("decode hello", "t", "expected hello first");
    mesh_hello hello;
    hello.who.name.value = read_name(message, "name");
    hello.who.incarnation = read_name(message, "incarnation");
    hello.where = parse_address(read_name(message, "address"));
    return hello;
}

mesh_link::mesh_link(event_loop& loop, bufferevent_ptr stream,
                     const std::string& uri, const mesh_limits& limits,
                     mesh_counters& counters, handlers notify)
    : loop_(loop), stream_(std::move(stream)), limits_(limits),
      counters_(counters), notify_(std::move(notify)), last_heard_(loop.now()),
      session_(uri, limits.max_message_bytes, make_handlers())
{
    bufferevent_setcb(stream_.get(), &handle_read, nullptr, &handle_event,
                      this);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
    session_.start();
}

mesh_link::~mesh_link()
{
    close();
}

websocket_handlers mesh_link::make_handlers()
{
    websocket_handlers made;
    made.write = [this](const char* data, std::size_t size) {
        write(data, size);
    };
    made.on_open = [this] {
        open_ = true;
        if (!closed_)
            notify_.on_open(*this);
    };
    made.on_message = [this](const std::string& payload) { receive(payload); };
    made.on_failure = [this] { fail(); };
    return made;
}

void mesh_link::handle_read(bufferevent*, void* self)
{
    static_cast<mesh_link*>(self)->read();
}

void mesh_link::handle_event(bufferevent*, short, void* self)
{
    auto& link = *static_cast<mesh_link*>(self);
    if (link.closed_)
        return;
    link.close();
    link.notify_.on_end(link);
}

void mesh_link::read()
{
    evbuffer* input = bufferevent_get_input(stream_.get());
    while (!closed_ && !failed_ && evbuffer_get_length(input) > 0) {
        last_heard_ = loop_.now();
        auto size = evbuffer_get_contiguous_space(input);
        auto* data = evbuffer_pullup(input, static_cast<ev_ssize_t>(size));
        counters_.received += size;
        if (!session_.read(reinterpret_cast<char*>(data), size))
            fail();
        evbuffer_drain(input, size);
    }
}

void mesh_link::write(const char* data, std::size_t size)
{
    if (closed_ || failed_)
        return;
    counters_.sent += size;
    bufferevent_write(stream_.get(), data, size);
    auto pending = evbuffer_get_length(bufferevent_get_output(stream_.get()));
    if (pending > limits_.max_pending_bytes)
        fail();
}

void mesh_link::receive(const std::string& payload)
{
    if (closed_ || failed_)
        return;
    nlohmann::json message;
    try {
        message = parse_message(payload);
    } catch (const error&) {
        return fail();
    }
    notify_.on_message(*this, std::move(message));
}

// websocketpp or the owner may be on the stack: the end is told later.
void mesh_link::fail()
{
    if (closed_ || std::exchange(failed_, true))
        return;
    bufferevent_disable(stream_.get(), EV_READ | EV_WRITE);
    bufferevent_trigger_event(stream_.get(), BEV_EVENT_ERROR,
                              BEV_TRIG_DEFER_CALLBACKS);
}

bool mesh_link::send(const nlohmann::json& message)
{
    if (closed_ || failed_ || !open_)
        return false;
    auto bytes = nlohmann::json::to_cbor(message);
    return session_.send(bytes.data(), bytes.size()) && !failed_;
}

void mesh_link::ping()
{
    if (!closed_ && !failed_ && open_)
        session_.ping();
}

void mesh_link::close()
{
    if (std::exchange(closed_, true))
        return;
    bufferevent_disable(stream_.get(), EV_READ | EV_WRITE);
    // The peer learns at once, even when this object is destroyed later.
    ::shutdown(bufferevent_getfd(stream_.get()), SHUT_RDWR);
}

} // namespace vanillapost::io::detail
