#ifndef VANILLAPOST_TEST_IO_SUPPORT_HPP
#define VANILLAPOST_TEST_IO_SUPPORT_HPP

#include "vanillapost/io.hpp"
#include "vanillapost/src/io/detail/socket.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <string>
#include <unistd.h>

namespace vanillapost::io::test {

using namespace std::chrono_literals;

using bufferevent_ptr =
    std::unique_ptr<bufferevent, decltype(&bufferevent_free)>;

constexpr duration generous = 20s;
const address any_port{"127.0.0.1", 0};

/// Runs the loop until `done`, or fails after a generous time.
inline void run_until(event_loop& loop, const std::function<bool()>& done)
{
    bool late = false;
    timer limit(loop, [&] {
        late = true;
        loop.stop();
    });
    limit.start_once(generous);
    timer poll(loop, [&] {
        if (done())
            loop.stop();
    });
    poll.start_every(1ms);
    loop.run();
    ASSERT_FALSE(late) << "the awaited event did not come";
}

inline void run_for(event_loop& loop, duration time)
{
    timer end(loop, [&] { loop.stop(); });
    end.start_once(time);
    loop.run();
}

/// One end of a TCP connection, with bytes as they are.
class raw_stream
{
public:
    explicit raw_stream(bufferevent_ptr stream) : stream_(std::move(stream))
    {
        bufferevent_setcb(stream_.get(), &on_read, nullptr, &on_event, this);
        bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
    }

    void send(std::string_view bytes)
    {
        bufferevent_write(stream_.get(), bytes.data(), bytes.size());
    }

    /// Past the loop: the bytes are with the kernel when it returns.
    void send_now(std::string_view bytes)
    {
        const auto sent = ::send(bufferevent_getfd(stream_.get()), bytes.data(),
                                 bytes.size(), 0);
        ASSERT_EQ(sent, static_cast<ssize_t>(bytes.size()));
    }

    void close()
    {
        // Freeing alone would close it on a later turn of the loop.
        ::shutdown(bufferevent_getfd(stream_.get()), SHUT_RDWR);
        stream_.reset();
    }

    std::string received;
    bool closed = false;

private:
    static void on_read(bufferevent* stream, void* self)
    {
        auto& text = static_cast<raw_stream*>(self)->received;
        evbuffer* input = bufferevent_get_input(stream);
        auto size = evbuffer_get_length(input);
        auto at = text.size();
        text.resize(at + size);
        evbuffer_remove(input, text.data() + at, size);
    }

    static void on_event(bufferevent*, short, void* self)
    {
        static_cast<raw_stream*>(self)->closed = true;
    }

    bufferevent_ptr stream_;
};

inline std::unique_ptr<raw_stream> connect_raw(event_loop& loop,
                                               const address& where)
{
    auto target = detail::to_socket_address(where);
    const auto socket = ::socket(target.get()->sa_family, SOCK_STREAM, 0);
    if (::connect(socket, target.get(), target.length) != 0) {
        ::close(socket);
        return nullptr;
    }
    evutil_make_socket_nonblocking(socket);
    bufferevent_ptr stream(
        bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE),
        &bufferevent_free);
    return std::make_unique<raw_stream>(std::move(stream));
}

/// Accepts connections and hands out their bytes.
class raw_server
{
public:
    explicit raw_server(event_loop& loop) : loop_(loop)
    {
        auto target = detail::to_socket_address(any_port);
        listener_.reset(evconnlistener_new_bind(loop.base(), &on_accept, this,
                                                LEV_OPT_CLOSE_ON_FREE, -1,
                                                target.get(), target.length));
        where = detail::local_address(evconnlistener_get_fd(listener_.get()));
    }

    address where;
    std::vector<std::unique_ptr<raw_stream>> streams;

private:
    static void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*,
                          int, void* self)
    {
        auto& server = *static_cast<raw_server*>(self);
        bufferevent_ptr stream(bufferevent_socket_new(server.loop_.base(),
                                                      socket,
                                                      BEV_OPT_CLOSE_ON_FREE),
                               &bufferevent_free);
        server.streams.push_back(
            std::make_unique<raw_stream>(std::move(stream)));
    }

    event_loop& loop_;
    std::unique_ptr<evconnlistener, decltype(&evconnlistener_free)> listener_{
        nullptr, &evconnlistener_free};
};

/// A call that notes its answer.
struct noted_call
{
    int status = 0;
    header_list headers;
    std::string body;
    bool done = false;
    std::optional<call_failure> failure;
    std::unique_ptr<http_call> handle;

    bool ended() const
    {
        return done || failure;
    }

    call_handlers handlers()
    {
        return {[this](int code, std::span<const header_field> list) {
                    status = code;
                    headers.assign(list.begin(), list.end());
                },
                [this](std::string_view data) { body += data; },
                [this] { done = true; },
                [this](const call_failure& why) { failure = why; }};
    }

    void start(http_client& client, const http_request& request,
               duration timeout = generous)
    {
        handle = client.start(request, handlers(), timeout);
    }
};

} // namespace vanillapost::io::test

#endif
