/// Bytes that come without end: each is bounded, and its connection is closed.

#include "io_support.hpp"
#include "vanillapost/src/io/caller_server.hpp"
#include "vanillapost/src/io/target_pool.hpp"

namespace {

using namespace vanillapost;
using namespace vanillapost::io;
using namespace vanillapost::io::test;

const std::string answer_head = "HTTP/1.1 200 OK\r\nId: 1\r\n";
const std::string chunked_head =
    answer_head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string chunked_request =
    "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What begins like a message, and what then comes again and again.
struct endless
{
    std::string begin;
    std::string again;
};

const std::vector<endless> endless_answers = {
    {"", "\r\n"},
    {"HTTP/1.1 200 ", "OK"},
    {answer_head, "X: y\r\n"},
    {answer_head + "X: ", "y"},
    {"", "HTTP/1.1 102 Wait\r\n\r\n"},
    {"", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 2\r\n\r\nno"},
    {chunked_head, "0"},
    {chunked_head + "3;", "x"},
    {chunked_head + "3\r\nabc\r\n0\r\n", "X: y\r\n"},
};

const std::vector<endless> endless_requests = {
    {"", "\r\n"},
    {"GET /", "x"},
    {"GET / HTTP/1.1\r\n", "X: y\r\n"},
    {chunked_request, "0"},
    {chunked_request + "3;", "x"},
    {chunked_request + "3\r\nabc\r\n0\r\n", "X: y\r\n"},
};

/// Sends until the peer has had enough, a piece a millisecond.
void send_without_end(event_loop& loop, raw_stream& stream, const endless& what,
                      std::size_t piece, const std::function<bool()>& done)
{
    stream.send(what.begin);
    std::string bytes;
    while (bytes.size() < piece)
        bytes += what.again;
    timer more(loop, [&] {
        if (!stream.closed)
            stream.send(bytes);
    });
    more.start_every(1ms);
    run_until(loop, done);
}

// 9 * 64 KiB is beyond every bound but that on whole answers to earlier calls.
constexpr std::size_t quick_piece = 64 * 1024;

TEST(Endless, AnAnswerThatComesToNoEndFailsAndItsConnectionIsClosed)
{
    for (const auto& each : endless_answers) {
        event_loop loop;
        raw_server target(loop);
        target_pool pool(loop, target.where, {.id_header = "Id"});
        std::optional<target_failure> failure;
        target_call_handlers handlers;
        handlers.on_head = [](target_answer_head&&) {};
        handlers.on_data = [](std::string_view) {};
        handlers.on_done = [] { ADD_FAILURE() << "taken for whole"; };
        handlers.on_failure = [&](const target_failure& why) { failure = why; };
        const auto call = pool.start({"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "1"},
                                     std::move(handlers));
        run_until(loop, [&] { return !target.streams.empty(); });
        send_without_end(loop, *target.streams.back(), each, quick_piece,
                         [&] { return failure.has_value(); });
        ASSERT_TRUE(failure) << each.begin << each.again;
        EXPECT_EQ(failure->fault, answer_fault::too_long)
            << each.begin << each.again;
        EXPECT_TRUE(failure->sent);
        EXPECT_EQ(pool.open_connections(), 0u);
    }
}

TEST(Endless, ARequestThatComesToNoEndIsRefusedAndItsConnectionClosed)
{
    for (const auto& each : endless_requests) {
        event_loop loop;
        int taken = 0;
        caller_server server(loop, {}, [&](auto) { ++taken; });
        const auto where = server.listen(any_port);
        auto caller = connect_raw(loop, where);
        send_without_end(loop, *caller, each, 4096,
                         [&] { return server.connections() == 0; });
        EXPECT_EQ(taken, 0) << each.begin << each.again;
    }
}

TEST(Endless, WhatStandsBetweenChunksIsTheEndOfALineAndNothingElse)
{
    for (const std::string_view body :
         {"3\r\nabcXX0\r\n\r\n", "3\r\nabc\rX0\r\n\r\n", "3\r\nabc\n0\r\n\r\n",
          "3;a\nb\r\nabc\r\n0\r\n\r\n", "3\r\nabc\r\n0\r\nX: y\rZ\r\n\r\n"}) {
        event_loop loop;
        int taken = 0;
        caller_server server(loop, {}, [&](auto) { ++taken; });
        const auto where = server.listen(any_port);
        auto caller = connect_raw(loop, where);
        caller->send(chunked_request + std::string(body));
        run_until(loop, [&] { return !caller->received.empty(); });
        EXPECT_TRUE(caller->received.starts_with("HTTP/1.1 400 ")) << body;
        EXPECT_EQ(taken, 0) << body;
    }
}

TEST(Endless, ChunksMayComeInPiecesOfAnySize)
{
    const std::string message =
        chunked_request + "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nX: y\r\n\r\n";
    for (std::size_t size = 1; size < 9; ++size) {
        event_loop loop;
        std::string body;
        caller_server server(loop, {}, [&](auto exchange) {
            body = exchange->take_request().body;
            exchange->reply(200, {}, "");
        });
        const auto where = server.listen(any_port);
        auto caller = connect_raw(loop, where);
        std::size_t at = 0;
        timer more(loop, [&] {
            if (at < message.size())
                caller->send_now(message.substr(at, size));
            at += size;
        });
        more.start_every(1ms);
        run_until(loop, [&] { return !caller->received.empty(); });
        EXPECT_EQ(body, "abcde") << size;
    }
}

TEST(Endless, ABodyThatStopsIsRefusedAfterATime)
{
    event_loop loop;
    int taken = 0;
    caller_server server(loop, {.stall_timeout = 300ms},
                         [&](auto) { ++taken; });
    const auto where = server.listen(any_port);
    auto caller = connect_raw(loop, where);
    caller->send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf");
    run_until(loop, [&] { return !caller->received.empty(); });
    EXPECT_TRUE(caller->received.starts_with("HTTP/1.1 408 "));
    EXPECT_EQ(taken, 0);
}

// More than the buffers of the kernel hold.
TEST(Endless, ACallerThatReadsNoAnswerIsLetGoOf)
{
    event_loop loop;
    caller_server server(loop, {.stall_timeout = 300ms}, [&](auto exchange) {
        exchange->reply(200, {}, std::string(32 * 1024 * 1024, 'x'));
    });
    const auto where = server.listen(any_port);
    auto target = detail::to_socket_address(where);
    const auto socket = ::socket(target.get()->sa_family, SOCK_STREAM, 0);
    ASSERT_EQ(::connect(socket, target.get(), target.length), 0);
    const std::string_view request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    ASSERT_GT(::send(socket, request.data(), request.size(), 0), 0);
    run_until(loop, [&] { return server.connections() == 1; });
    run_until(loop, [&] { return server.connections() == 0; });
    ::close(socket);
}

TEST(Endless, ACallerOfHttp10GetsNoChunks)
{
    event_loop loop;
    std::unique_ptr<caller_exchange> held;
    caller_server server(loop, {}, [&](auto exchange) {
        held = std::move(exchange);
        held->begin(200, {}, std::nullopt);
        held->write("some");
    });
    const auto where = server.listen(any_port);
    auto caller = connect_raw(loop, where);
    caller->send("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
    run_until(loop, [&] { return caller->received.ends_with("some"); });
    EXPECT_EQ(caller->received.find("chunked"), std::string::npos);
    EXPECT_FALSE(caller->closed);
    held->write(" more");
    held->finish();
    run_until(loop, [&] { return caller->closed; });
    EXPECT_TRUE(caller->received.ends_with("\r\n\r\nsome more"));
}

// Its end is all that would tell it from a whole one.
TEST(Endless, ABrokenAnswerWithoutALengthEndsInAReset)
{
    event_loop loop;
    std::unique_ptr<caller_exchange> held;
    caller_server server(loop, {}, [&](auto exchange) {
        held = std::move(exchange);
        held->begin(200, {}, std::nullopt);
        held->write("some");
    });
    const auto where = server.listen(any_port);
    auto target = detail::to_socket_address(where);
    const auto socket = ::socket(target.get()->sa_family, SOCK_STREAM, 0);
    ASSERT_EQ(::connect(socket, target.get(), target.length), 0);
    const std::string_view request = "GET / HTTP/1.0\r\n\r\n";
    ASSERT_GT(::send(socket, request.data(), request.size(), 0), 0);
    run_until(loop, [&] { return held != nullptr; });
    run_for(loop, 20ms);
    held.reset();
    run_for(loop, 20ms);
    char bytes[1024];
    ssize_t got = 0;
    do
        got = ::recv(socket, bytes, sizeof bytes, 0);
    while (got > 0);
    EXPECT_EQ(got, -1);
    EXPECT_EQ(errno, ECONNRESET);
    ::close(socket);
}

/// Asks in HTTP/1.0, whose answers have no chunks.
int connect_old_caller(const address& where)
{
    auto target = detail::to_socket_address(where);
    const auto socket = ::socket(target.get()->sa_family, SOCK_STREAM, 0);
    const int window = 16 * 1024;
    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    EXPECT_EQ(::connect(socket, target.get(), target.length), 0);
    const std::string_view request = "GET / HTTP/1.0\r\n\r\n";
    EXPECT_GT(::send(socket, request.data(), request.size(), 0), 0);
    return socket;
}

bool ends_in_a_reset(int socket)
{
    std::string bytes(64 * 1024, ' ');
    ssize_t got = 0;
    do
        got = ::recv(socket, bytes.data(), bytes.size(), 0);
    while (got > 0);
    return got == -1 && errno == ECONNRESET;
}

// The end of a process closed the connection in order, and a half answer looked
// whole.
TEST(Endless, AnAnswerWithoutALengthIsResetWhenTheServerEnds)
{
    event_loop loop;
    std::unique_ptr<caller_exchange> held;
    auto server = std::make_unique<caller_server>(
        loop, caller_server_limits{}, [&](auto exchange) {
            held = std::move(exchange);
            held->begin(200, {}, std::nullopt);
            held->write("some");
        });
    const auto socket = connect_old_caller(server->listen(any_port));
    run_until(loop, [&] { return held != nullptr; });
    run_for(loop, 20ms);
    server.reset();
    run_for(loop, 20ms);
    EXPECT_TRUE(ends_in_a_reset(socket));
    ::close(socket);
}

// All of it was there, but its caller had not read it.
TEST(Endless, AnAnswerWithoutALengthThatIsUnreadIsResetWhenTheServerEnds)
{
    event_loop loop;
    bool answered = false;
    auto server = std::make_unique<caller_server>(
        loop, caller_server_limits{}, [&](auto exchange) {
            exchange->begin(200, {}, std::nullopt);
            exchange->write(std::string(8 * 1024 * 1024, 'x'));
            exchange->finish();
            answered = true;
        });
    const auto socket = connect_old_caller(server->listen(any_port));
    run_until(loop, [&] { return answered; });
    run_for(loop, 20ms);
    server.reset();
    run_for(loop, 20ms);
    EXPECT_TRUE(ends_in_a_reset(socket));
    ::close(socket);
}

} // namespace
