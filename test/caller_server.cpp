#include "vanillapost/src/io/caller_server.hpp"
#include "io_support.hpp"

#include <rapidcheck/gtest.h>
#include <sys/resource.h>

namespace {

using namespace vanillapost;
using namespace vanillapost::io;
using namespace vanillapost::io::test;
using exchange_ptr = std::unique_ptr<caller_exchange>;

/// A server whose requests are held until the test answers them.
struct served
{
    event_loop loop;
    std::vector<exchange_ptr> held;
    std::vector<http_request> requests;
    caller_server server;
    address where;

    explicit served(caller_server_limits limits = {})
        : server(loop, limits,
                 [this](exchange_ptr e) {
                     requests.push_back(e->take_request());
                     held.push_back(std::move(e));
                 }),
          where(server.listen(any_port))
    {
    }

    std::unique_ptr<raw_stream> connect()
    {
        return connect_raw(loop, where);
    }

    void await(std::size_t count)
    {
        run_until(loop, [&] { return requests.size() >= count; });
    }

    void await_text(const raw_stream& stream, std::string_view text)
    {
        run_until(loop, [&] {
            return stream.received.find(text) != std::string::npos;
        });
    }
};

std::size_t position(const raw_stream& stream, std::string_view text)
{
    return stream.received.find(text);
}

std::size_t count(const raw_stream& stream, std::string_view text)
{
    std::size_t found = 0;
    auto at = position(stream, text);
    for (; at != std::string::npos; ++found)
        at = stream.received.find(text, at + text.size());
    return found;
}

// evhttp would begin the second request only after the first was answered.
TEST(CallerServer, PipelinedRequestsAreWorkedOnTogetherAndAnsweredInOrder)
{
    served s;
    auto caller = s.connect();
    caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                 "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
                 "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n");
    s.await(3);
    s.held[2]->reply(200, {}, "third");
    s.held[1]->reply(200, {}, "second");
    run_for(s.loop, 20ms);
    EXPECT_TRUE(caller->received.empty());
    s.held[0]->reply(200, {}, "first");
    s.await_text(*caller, "third");
    EXPECT_LT(position(*caller, "first"), position(*caller, "second"));
    EXPECT_LT(position(*caller, "second"), position(*caller, "third"));
}

TEST(CallerServer, ReadsBodiesWithALengthAndInChunks)
{
    served s;
    auto caller = s.connect();
    caller->send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n12345"
                 "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked"
                 "\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    s.await(2);
    EXPECT_EQ(s.requests[0].body, "12345");
    EXPECT_EQ(s.requests[1].body, "abcde");
}

TEST(CallerServer, TellsAtOnceThatACallerLeft)
{
    served s;
    auto caller = s.connect();
    caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                 "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    s.await(2);
    int gone = 0;
    for (auto& each : s.held)
        each->on_gone([&] { ++gone; });
    caller->close();
    run_until(s.loop, [&] { return gone == 2; });
    EXPECT_EQ(s.server.in_flight(), 0u);
    s.held[0]->reply(200, {}, "nobody reads this");
}

TEST(CallerServer, AnAnswerThatIsDroppedBreaksTheConnectionOff)
{
    served s;
    auto caller = s.connect();
    caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    s.await(1);
    s.held[0]->begin(200, {}, std::nullopt);
    s.held[0]->write("half");
    s.await_text(*caller, "half");
    s.held.clear();
    run_until(s.loop, [&] { return caller->closed; });
    EXPECT_EQ(position(*caller, "0\r\n\r\n"), std::string::npos);
}

// What came behind a begun answer stood in the middle of its body.
TEST(CallerServer, AReplyBehindABegunAnswerWritesNothingAndBreaksOff)
{
    const std::vector<std::optional<std::uint64_t>> lengths = {std::nullopt,
                                                               99};
    for (const auto& length : lengths) {
        served s;
        auto caller = s.connect();
        caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        s.await(1);
        s.held[0]->begin(200, {}, length);
        s.held[0]->write("half");
        s.await_text(*caller, "half");
        EXPECT_TRUE(s.held[0]->has_begun());
        s.held[0]->reply(504, {}, "too late");
        run_until(s.loop, [&] { return caller->closed; });
        EXPECT_EQ(position(*caller, "504"), std::string::npos);
        EXPECT_EQ(position(*caller, "0\r\n\r\n"), std::string::npos);
        EXPECT_TRUE(caller->received.find("half") != std::string::npos);
        EXPECT_EQ(s.server.in_flight(), 0u);
    }
}

// A caller would wait for the missing bytes, or take the next answer's.
TEST(CallerServer, AnAnswerOfAnotherLengthThanItSaysBreaksOff)
{
    for (const std::string_view body : {"abc", "abcdefg"}) {
        served s;
        auto caller = s.connect();
        caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                     "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
        s.await(2);
        s.held[1]->reply(200, {}, "second");
        s.held[0]->begin(200, {}, 5);
        s.held[0]->write(body);
        s.held[0]->finish();
        run_until(s.loop, [&] { return caller->closed; });
        EXPECT_EQ(position(*caller, "second"), std::string::npos);
        EXPECT_EQ(position(*caller, "abcdefg"), std::string::npos);
    }
}

TEST(CallerServer, AStreamedAnswerToHeadHasNoBody)
{
    const std::vector<std::optional<std::uint64_t>> lengths = {std::nullopt,
                                                               99};
    for (const auto& length : lengths) {
        served s;
        auto caller = s.connect();
        caller->send("HEAD /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                     "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
        s.await(2);
        s.held[0]->begin(200, {}, length);
        s.held[0]->finish();
        s.held[1]->reply(200, {}, "second");
        s.await_text(*caller, "second");
        EXPECT_NE(position(*caller, "\r\n\r\nHTTP/1.1 200"), std::string::npos);
        EXPECT_EQ(position(*caller, "0\r\n\r\n"), std::string::npos);
    }
}

TEST(CallerServer, StreamsInChunksWithoutALength)
{
    served s;
    auto caller = s.connect();
    caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    s.await(1);
    s.held[0]->begin(200, {}, std::nullopt);
    s.held[0]->write("abc");
    s.held[0]->finish();
    s.await_text(*caller, "0\r\n\r\n");
    EXPECT_NE(position(*caller, "3\r\nabc\r\n"), std::string::npos);
}

TEST(CallerServer, RefusesWhatIsTooLargeOrNoRequest)
{
    caller_server_limits limits;
    limits.max_header_bytes = 200;
    limits.max_body_bytes = 10;
    served s(limits);
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"GET / HTTP/1.1\r\nX: " + std::string(300, 'a') + "\r\n\r\n", " 431 "},
        {"POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n12345678901", " 413 "},
        {"what is this\r\n\r\n", " 400 "}};
    for (const auto& [bytes, status] : cases) {
        auto caller = s.connect();
        caller->send(bytes);
        run_until(s.loop, [&] { return caller->closed; });
        EXPECT_NE(position(*caller, status), std::string::npos) << bytes;
    }
    EXPECT_TRUE(s.requests.empty());
}

TEST(CallerServer, SlowHeadersAndIdleConnectionsAreClosed)
{
    caller_server_limits limits;
    limits.header_timeout = 100ms;
    limits.idle_timeout = 100ms;
    served s(limits);
    auto slow = s.connect();
    auto idle = s.connect();
    slow->send("GET / HT");
    run_until(s.loop, [&] { return slow->closed && idle->closed; });
    EXPECT_NE(position(*slow, " 408 "), std::string::npos);
    EXPECT_TRUE(idle->received.empty());
}

// A request that is read while the server closes is answered, and the caller
// is told not to send another.
TEST(CallerServer, AnnouncesItsEndOnTheLastAnswer)
{
    served s;
    auto caller = s.connect();
    auto idle = s.connect();
    caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                 "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    s.await(2);
    s.server.announce_close();
    s.server.stop_accepting();
    s.held[0]->reply(200, {}, "first");
    s.held[1]->reply(200, {}, "second");
    run_until(s.loop, [&] { return caller->closed && idle->closed; });
    const auto said = position(*caller, "Connection: close");
    EXPECT_GT(said, position(*caller, "first"));
    EXPECT_LT(said, position(*caller, "second"));
    EXPECT_FALSE(connect_raw(s.loop, s.where));
}

// A request was always behind the one that was answered: the connection was
// never told to close, and was cut when the router ended.
TEST(CallerServer, APipelineWithoutAPauseIsToldToCloseWhenTheServerLeaves)
{
    served s;
    auto caller = s.connect();
    caller->send("GET /0 HTTP/1.1\r\nHost: a\r\n\r\n");
    s.server.announce_close();
    std::size_t answered = 0;
    timer pipeline(s.loop, [&] {
        caller->send("GET /n HTTP/1.1\r\nHost: a\r\n\r\n");
        if (answered + 1 < s.held.size())
            s.held[answered++]->reply(200, {}, "whole");
    });
    pipeline.start_every(5ms);
    run_for(s.loop, 200ms);
    for (; answered < s.held.size(); ++answered)
        s.held[answered]->reply(200, {}, "whole");
    run_until(s.loop, [&] { return caller->closed; });
    EXPECT_EQ(count(*caller, "whole"), s.requests.size());
    EXPECT_LE(s.requests.size(), 4u);
    EXPECT_EQ(count(*caller, "Connection: close"), 1u);
    const auto said = position(*caller, "Connection: close");
    EXPECT_EQ(caller->received.find("HTTP/1.1", said), std::string::npos);
}

// The same where no answer begins before the server closes.
TEST(CallerServer, APipelineOfSlowRequestsTakesNoMoreOnceTheServerCloses)
{
    served s;
    auto caller = s.connect();
    caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                 "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    s.await(2);
    s.server.announce_close();
    s.server.stop_accepting();
    caller->send("GET /3 HTTP/1.1\r\nHost: a\r\n\r\n");
    run_for(s.loop, 50ms);
    ASSERT_EQ(s.requests.size(), 2u);
    s.held[0]->reply(200, {}, "first");
    s.held[1]->reply(200, {}, "second");
    run_until(s.loop, [&] { return caller->closed; });
    const auto said = position(*caller, "Connection: close");
    EXPECT_GT(said, position(*caller, "first"));
    EXPECT_LT(said, position(*caller, "second"));
}

// Such an answer says nothing of the end, and its connection stayed open: what
// was sent on it later was cut.
TEST(CallerServer, AStreamThatBeganBeforeTheServerLeavesIsTheLastOne)
{
    served s;
    auto caller = s.connect();
    caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    s.await(1);
    s.held[0]->begin(200, {}, std::nullopt);
    s.held[0]->write("stream");
    s.await_text(*caller, "stream");
    s.server.announce_close();
    s.server.stop_accepting();
    run_for(s.loop, 20ms);
    s.held[0]->finish();
    run_for(s.loop, 500ms);
    EXPECT_TRUE(caller->closed);
    EXPECT_TRUE(caller->received.ends_with("0\r\n\r\n"));
    EXPECT_EQ(s.requests.size(), 1u);
}

TEST(CallerServer, TheRequestBehindAStreamThatBeganBeforeIsTheLastOne)
{
    served s;
    auto caller = s.connect();
    caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    s.await(1);
    s.held[0]->begin(200, {}, std::nullopt);
    s.server.announce_close();
    s.server.stop_accepting();
    caller->send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
                 "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n");
    run_for(s.loop, 20ms);
    s.held[0]->finish();
    s.await(2);
    s.held[1]->reply(200, {}, "second");
    run_until(s.loop, [&] { return caller->closed; });
    EXPECT_EQ(s.requests.size(), 2u);
    EXPECT_LT(position(*caller, "Connection: close"),
              position(*caller, "second"));
}

// They had been answered by sound targets, and ended with the connection of a
// stream that broke.
TEST(CallerServer, NothingIsHandedOverBehindAStreamThatMayBreak)
{
    served s;
    auto caller = s.connect();
    caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    s.await(1);
    s.held[0]->begin(200, {}, 100);
    s.held[0]->write("stream");
    caller->send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
                 "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n");
    run_for(s.loop, 30ms);
    EXPECT_EQ(s.requests.size(), 1u);
    EXPECT_EQ(s.server.in_flight(), 3u);
    s.held[0].reset();
    run_until(s.loop, [&] { return caller->closed; });
    EXPECT_EQ(s.requests.size(), 1u);
    EXPECT_EQ(s.server.in_flight(), 0u);
}

TEST(CallerServer, RequestsBehindOneThatHoldsThemComeAfterItsAnswer)
{
    event_loop loop;
    std::vector<exchange_ptr> held;
    std::vector<time_point> taken;
    caller_server server(loop, {}, [&](exchange_ptr e) {
        const bool holds = e->take_request().target == "/hold";
        if (holds)
            e->hold_followers();
        taken.push_back(e->taken_at());
        held.push_back(std::move(e));
    });
    auto caller = connect_raw(loop, server.listen(any_port));
    caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                 "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n"
                 "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n"
                 "GET /4 HTTP/1.1\r\nHost: a\r\n\r\n");
    run_until(loop, [&] { return held.size() == 2; });
    run_for(loop, 30ms);
    held[1]->reply(200, {}, "second");
    EXPECT_EQ(held.size(), 3u);
    held[2]->reply(200, {}, "third");
    EXPECT_EQ(held.size(), 4u);
    EXPECT_LT(taken[3] - taken[0], 25ms);
    held[3]->reply(200, {}, "fourth");
    held[0]->reply(200, {}, "first");
    run_until(loop, [&] { return caller->received.ends_with("fourth"); });
}

// A router that reaches its targets again keeps its connections.
TEST(CallerServer, ACloseThatIsTakenBackEndsNoPipeline)
{
    served s;
    auto caller = s.connect();
    caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    s.await(1);
    s.server.announce_close();
    s.server.announce_close(false);
    s.held[0]->reply(200, {}, "first");
    caller->send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    s.await(2);
    s.server.announce_close();
    s.held[1]->reply(200, {}, "second");
    run_until(s.loop, [&] { return caller->closed; });
    EXPECT_GT(position(*caller, "Connection: close"),
              position(*caller, "first"));
}

TEST(CallerServer, NothingIsReadBehindARequestThatAsksToClose)
{
    served s;
    auto caller = s.connect();
    caller->send("GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                 "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    s.await(1);
    s.held[0]->reply(200, {}, "first");
    run_until(s.loop, [&] { return caller->closed; });
    EXPECT_EQ(s.requests.size(), 1u);
}

TEST(CallerServer, HoldsNoMoreThanItsLimitOfPipelinedRequests)
{
    caller_server_limits limits;
    limits.max_pipelined = 4;
    served s(limits);
    auto caller = s.connect();
    for (int i = 0; i < 10; ++i)
        caller->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    run_for(s.loop, 50ms);
    EXPECT_EQ(s.requests.size(), 4u);
    for (std::size_t i = 0; i < 10; ++i) {
        s.await(i + 1);
        s.held[i]->reply(200, {}, "x");
    }
}

/// A caller with a small window that reads nothing until it is told to.
int connect_slowly(const address& where)
{
    auto target = detail::to_socket_address(where);
    const auto socket = ::socket(target.get()->sa_family, SOCK_STREAM, 0);
    const int window = 16 * 1024;
    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    EXPECT_EQ(::connect(socket, target.get(), target.length), 0);
    const std::string_view request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    EXPECT_GT(::send(socket, request.data(), request.size(), 0), 0);
    return socket;
}

/// Reads a piece at a time until the end; returns how many bytes came.
std::size_t read_to_the_end(event_loop& loop, int socket)
{
    evutil_make_socket_nonblocking(socket);
    std::size_t total = 0;
    bool ended = false;
    std::string piece(256 * 1024, ' ');
    timer read(loop, [&] {
        const auto got = ::recv(socket, piece.data(), piece.size(), 0);
        if (got > 0)
            total += static_cast<std::size_t>(got);
        ended = got == 0 || (got < 0 && errno != EAGAIN);
        if (ended)
            loop.stop();
    });
    read.start_every(1ms);
    run_until(loop, [&] { return ended; });
    return total;
}

constexpr std::size_t large_answer = 8 * 1024 * 1024; // beyond all buffers

// It counted as idle once its answer was in the buffer; the rest was dropped.
TEST(CallerServer, AHalfWrittenAnswerSurvivesTheEndOfAccepting)
{
    served s;
    const auto socket = connect_slowly(s.where);
    s.await(1);
    s.held[0]->reply(200, {}, std::string(large_answer, 'x'));
    run_for(s.loop, 50ms);
    s.server.announce_close();
    s.server.stop_accepting();
    run_for(s.loop, 50ms);
    EXPECT_EQ(s.server.connections(), 1u);
    EXPECT_GT(read_to_the_end(s.loop, socket), large_answer);
    ::close(socket);
}

TEST(CallerServer, AHalfWrittenAnswerIsNoIdleConnection)
{
    caller_server_limits limits;
    limits.idle_timeout = 100ms;
    served s(limits);
    const auto socket = connect_slowly(s.where);
    s.await(1);
    s.held[0]->reply(200, {}, std::string(large_answer, 'x'));
    run_for(s.loop, 1300ms);
    EXPECT_EQ(s.server.connections(), 1u);
    EXPECT_GT(read_to_the_end(s.loop, socket), large_answer);
    ::close(socket);
}

constexpr std::size_t kernel_answer = 1024 * 1024; // the kernel takes all of it

/// A caller that reads nothing for a while, and goes on sending, gets the whole
/// answer of before.
void expect_delivery_while_sending(served& s, int socket)
{
    evutil_make_socket_nonblocking(socket);
    const std::string_view request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    timer send(s.loop, [&] {
        ::send(socket, request.data(), request.size(), MSG_NOSIGNAL);
    });
    send.start_every(10ms);
    run_for(s.loop, 2200ms);
    EXPECT_GT(read_to_the_end(s.loop, socket), kernel_answer);
    EXPECT_EQ(s.requests.size(), 1u);
    ::close(socket);
    run_until(s.loop, [&] { return s.server.connections() == 0; });
}

// Our close met bytes that it went on sending, which reset the connection: what
// the kernel had not delivered of the answer was lost.
TEST(CallerServer, ASlowCallerThatGoesOnSendingGetsItsLastAnswer)
{
    served s;
    const auto socket = connect_slowly(s.where);
    s.await(1);
    s.server.announce_close();
    s.held[0]->reply(200, {}, std::string(kernel_answer, 'x'));
    expect_delivery_while_sending(s, socket);
}

// Between two requests it was closed at once, with the same loss.
TEST(CallerServer, ASlowCallerGetsItsAnswerWhenTheServerCloses)
{
    served s;
    const auto socket = connect_slowly(s.where);
    s.await(1);
    s.held[0]->reply(200, {}, std::string(kernel_answer, 'x'));
    run_for(s.loop, 50ms);
    s.server.stop_accepting();
    expect_delivery_while_sending(s, socket);
}

TEST(CallerServer, ASlowCallerGetsItsAnswerAfterTheIdleTimeout)
{
    caller_server_limits limits;
    limits.idle_timeout = 100ms;
    served s(limits);
    const auto socket = connect_slowly(s.where);
    s.await(1);
    s.held[0]->reply(200, {}, std::string(kernel_answer, 'x'));
    run_for(s.loop, 1300ms);
    expect_delivery_while_sending(s, socket);
}

// Request 3 was passed on and then cut: the answer to 2, which was ready
// before that to 1, had already said that it is the last.
TEST(CallerServer, NothingIsReadOnceAnAnswerSaysThatItIsTheLast)
{
    served s;
    auto caller = s.connect();
    caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                 "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    s.await(2);
    s.server.announce_close();
    s.held[1]->reply(200, {}, "second");
    caller->send("GET /3 HTTP/1.1\r\nHost: a\r\n\r\n");
    run_for(s.loop, 50ms);
    EXPECT_EQ(s.requests.size(), 2u);
    s.held[0]->reply(200, {}, "first");
    run_until(s.loop, [&] { return caller->closed; });
    EXPECT_NE(position(*caller, "second"), std::string::npos);
}

TEST(CallerServer, NothingIsReadBehindAStreamThatSaysThatItIsTheLast)
{
    served s;
    auto caller = s.connect();
    caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    s.await(1);
    s.server.announce_close();
    s.held[0]->begin(200, {}, std::nullopt);
    caller->send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    run_for(s.loop, 50ms);
    EXPECT_EQ(s.requests.size(), 1u);
    s.held[0]->finish();
    run_until(s.loop, [&] { return caller->closed; });
    EXPECT_NE(position(*caller, "0\r\n\r\n"), std::string::npos);
}

// The connection was broken off at once, with the requests before it.
TEST(CallerServer, ADroppedAnswerCostsNoRequestBeforeIt)
{
    served s;
    auto caller = s.connect();
    caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                 "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
                 "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n");
    s.await(3);
    s.held[1]->begin(200, {}, 100);
    s.held[1]->write("half");
    s.held[1].reset();
    run_for(s.loop, 20ms);
    EXPECT_FALSE(caller->closed);
    s.held[0]->reply(200, {}, "first");
    run_until(s.loop, [&] { return caller->closed; });
    EXPECT_NE(position(*caller, "first"), std::string::npos);
    EXPECT_EQ(s.server.in_flight(), 0u);
}

// Each sweep refused it once more while an earlier request was worked on.
TEST(CallerServer, SlowHeadersBehindARequestAreRefusedOnce)
{
    caller_server_limits limits;
    limits.header_timeout = 100ms;
    served s(limits);
    auto caller = s.connect();
    caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HT");
    s.await(1);
    run_for(s.loop, 1700ms);
    s.held[0]->reply(200, {}, "first");
    run_until(s.loop, [&] { return caller->closed; });
    const auto refusal = position(*caller, " 408 ");
    ASSERT_NE(refusal, std::string::npos);
    EXPECT_EQ(caller->received.find(" 408 ", refusal + 1), std::string::npos);
}

// Its body was read as the next request.
TEST(CallerServer, NothingIsSmuggledInABodyOfConnect)
{
    const std::string inner = "GET /inner HTTP/1.1\r\nHost: a\r\n\r\n";
    served s;
    auto caller = s.connect();
    caller->send("CONNECT a:80 HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                 std::to_string(inner.size()) + "\r\n\r\n" + inner);
    run_until(s.loop, [&] { return caller->closed || !s.requests.empty(); });
    EXPECT_TRUE(s.requests.empty());
    EXPECT_NE(position(*caller, " 400 "), std::string::npos);
}

// Each holds a request in what one reader takes for a body.
TEST(CallerServer, RequestsThatCouldBeReadInTwoWaysAreRefusedAlone)
{
    const std::string inner = "GET /inner HTTP/1.1\r\nHost: a\r\n\r\n";
    const auto length = std::to_string(inner.size());
    const std::vector<std::string> heads = {
        "Content-Length: " + length + "\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: " + length,
        "Content-Length: 0\r\nContent-Length: " + length,
        "Content-Length: " + length + ", 0",
        "Content-Length: +" + length,
        "Content-Length : " + length,
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked, identity",
        "Transfer-Encoding: xchunked",
        "Transfer-Encoding : chunked",
        "Host: b",
        "X: a\rTransfer-Encoding: chunked",
        "X: a\r\n\rTransfer-Encoding: chunked",
        std::string("X: a\0b", 6)};
    for (const auto& head : heads) {
        served s;
        auto earlier = s.connect();
        earlier->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        s.await(1);
        earlier->send("POST /2 HTTP/1.1\r\nHost: a\r\n" + head +
                      "\r\n\r\n0\r\n\r\n" + inner);
        run_for(s.loop, 20ms);
        EXPECT_EQ(s.requests.size(), 1u) << head;
        s.held[0]->reply(200, {}, "first");
        run_until(s.loop, [&] { return earlier->closed; });
        EXPECT_NE(position(*earlier, "first"), std::string::npos) << head;
        EXPECT_NE(position(*earlier, " 400 "), std::string::npos) << head;
    }
}

// The listener woke the loop again and again.
TEST(CallerServer, WithoutDescriptorsTheListenerWaits)
{
    static int warnings = 0;
    event_set_log_callback([](int, const char*) { ++warnings; });
    served s;
    const auto socket = ::socket(AF_INET, SOCK_STREAM, 0);
    rlimit usual{};
    getrlimit(RLIMIT_NOFILE, &usual);
    rlimit none = usual;
    none.rlim_cur = static_cast<rlim_t>(socket) + 1;
    setrlimit(RLIMIT_NOFILE, &none);
    auto target = detail::to_socket_address(s.where);
    ASSERT_EQ(::connect(socket, target.get(), target.length), 0);
    run_for(s.loop, 250ms);
    setrlimit(RLIMIT_NOFILE, &usual);
    EXPECT_LE(warnings, 3);
    EXPECT_EQ(s.server.connections(), 0u);
    run_until(s.loop, [&] { return s.server.connections() == 1; });
    ::close(socket);
    event_set_log_callback(nullptr);
}

// It had come while the loop was at something else, and was closed unread.
TEST(CallerServer, ARequestThatWaitsUnreadIsNoIdleConnection)
{
    served s;
    auto caller = s.connect();
    run_until(s.loop, [&] { return s.server.connections() == 1; });
    caller->send_now("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    s.server.stop_accepting();
    s.await(1);
    ASSERT_EQ(s.requests.size(), 1u);
    s.held[0]->reply(200, {}, "first");
    s.await_text(*caller, "first");
}

// Its caller relied on the time-out of its last answer; the close crossed its
// next request.
TEST(CallerServer, AShorterIdleTimeoutClosesNoConnectionThatIsIdleAlready)
{
    served s;
    auto caller = s.connect();
    caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    s.await(1);
    s.held[0]->reply(200, {}, "first");
    s.await_text(*caller, "first");
    caller_server_limits shorter;
    shorter.idle_timeout = 100ms;
    s.server.set_limits(shorter);
    run_for(s.loop, 1300ms);
    EXPECT_FALSE(caller->closed);
    caller->send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    run_until(s.loop, [&] { return caller->closed || s.held.size() == 2; });
    ASSERT_EQ(s.held.size(), 2u);
    s.held[1]->reply(200, {}, "second");
    run_until(s.loop, [&] { return caller->closed; });
    EXPECT_NE(position(*caller, "second"), std::string::npos);
}

// It was told so only on a connection without earlier requests, and waited.
TEST(CallerServer, ACallerThatAsksFirstIsToldToGoOnAtItsTurn)
{
    served s;
    auto caller = s.connect();
    caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                 "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
                 "Expect: 100-continue\r\n\r\n");
    s.await(1);
    run_for(s.loop, 20ms);
    EXPECT_TRUE(caller->received.empty());
    s.held[0]->reply(200, {}, "first");
    s.await_text(*caller, "first");
    run_for(s.loop, 50ms);
    EXPECT_TRUE(
        caller->received.ends_with("firstHTTP/1.1 100 Continue\r\n\r\n"));
    caller->send("ok");
    s.await(2);
    ASSERT_EQ(s.requests.size(), 2u);
    EXPECT_EQ(s.requests[1].body, "ok");
}

// HTTP clients offer another protocol beside a plain request.
TEST(CallerServer, AnOfferToUpgradeIsAnsweredAsAPlainRequest)
{
    served s;
    auto caller = s.connect();
    for (const std::string_view body : {"", "abc"})
        caller->send("POST /1 HTTP/1.1\r\nHost: a\r\n"
                     "Connection: Upgrade, HTTP2-Settings\r\n"
                     "Upgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAoAAA\r\n"
                     "Content-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" +
                     std::string(body));
    s.await(2);
    ASSERT_EQ(s.requests.size(), 2u);
    EXPECT_EQ(s.requests[1].body, "abc");
    s.held[0]->reply(200, {}, "first");
    s.held[1]->reply(200, {}, "second");
    s.await_text(*caller, "second");
}

// The sweep once took the time since the last answer for idle while the next
// request was read, and dropped that request.
TEST(CallerServer, ARequestThatIsBeingReadIsNoIdleConnection)
{
    caller_server_limits limits;
    limits.idle_timeout = 100ms;
    served s(limits);
    auto caller = s.connect();
    caller->send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nha");
    run_for(s.loop, 1300ms);
    EXPECT_FALSE(caller->closed);
    caller->send("lf");
    run_until(s.loop, [&] { return caller->closed || !s.held.empty(); });
    ASSERT_EQ(s.held.size(), 1u);
    s.held[0]->reply(200, {}, "first");
    s.await_text(*caller, "first");
}

// Exchanges are still out when the server is destroyed.
TEST(CallerServer, ExchangesMayOutlastTheServer)
{
    std::vector<exchange_ptr> held;
    event_loop loop;
    auto server = std::make_unique<caller_server>(
        loop, caller_server_limits{},
        [&](exchange_ptr e) { held.push_back(std::move(e)); });
    auto caller = connect_raw(loop, server->listen(any_port));
    caller->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    run_until(loop, [&] { return !held.empty(); });
    server.reset();
    held[0]->reply(200, {}, "late");
}

RC_GTEST_PROP(CallerServer, SurvivesAnyBytes, ())
{
    static served s;
    auto caller = s.connect();
    const auto valid = std::string("POST /a HTTP/1.1\r\nHost: a\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n"
                                   "3\r\nabc\r\n0\r\n\r\n");
    auto bytes = *rc::gen::element(valid, valid + valid);
    const int changes = *rc::gen::inRange(0, 5);
    for (int i = 0; i < changes; ++i)
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
            *rc::gen::arbitrary<char>();
    caller->send(bytes);
    run_for(s.loop, 2ms);
    caller->close();
    run_until(s.loop, [&] { return s.server.connections() == 0; });
    s.held.clear();
    RC_ASSERT(s.server.in_flight() == 0u);
}

std::string upload_head(std::size_t bytes)
{
    return "POST /up HTTP/1.1\r\nHost: a\r\nContent-Length: " +
           std::to_string(bytes) + "\r\n\r\n";
}

caller_server_limits little_room()
{
    caller_server_limits limits;
    limits.max_total_body_bytes = 300'000;
    limits.room_timeout = 700ms;
    return limits;
}

// A few uploads, each within its limit, exceeded the memory of a process.
TEST(CallerServer, LargeBodiesWaitForRoomAndSmallRequestsDoNot)
{
    constexpr std::size_t size = 200'000;
    served s(little_room());
    auto first = s.connect();
    auto second = s.connect();
    auto small = s.connect();
    first->send(upload_head(size) + std::string(size, 'x'));
    s.await(1);
    second->send(upload_head(size) + std::string(size, 'y'));
    small->send("GET /small HTTP/1.1\r\nHost: a\r\n\r\n");
    s.await(2);
    run_for(s.loop, 50ms);
    ASSERT_EQ(s.requests.size(), 2u);
    EXPECT_EQ(s.requests[1].target, "/small");
    s.held[0]->reply(200, {}, "stored");
    s.await(3);
    EXPECT_EQ(s.requests[2].body, std::string(size, 'y'));
    s.held[2]->reply(200, {}, "stored too");
    s.await_text(*second, "stored too");
}

TEST(CallerServer, ABodyWithoutALengthWaitsForRoomToo)
{
    constexpr std::size_t size = 150'000;
    auto limits = little_room();
    limits.max_body_bytes = 200'000;
    served s(limits);
    auto first = s.connect();
    first->send(upload_head(size) + std::string(size, 'x'));
    s.await(1);
    auto second = s.connect();
    second->send("POST /up HTTP/1.1\r\nHost: a\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n249f0\r\n" +
                 std::string(size, 'y') + "\r\n0\r\n\r\n");
    run_for(s.loop, 100ms);
    ASSERT_EQ(s.requests.size(), 1u);
    s.held[0]->reply(200, {}, "stored");
    s.await(2);
    EXPECT_EQ(s.requests[1].body, std::string(size, 'y'));
}

TEST(CallerServer, ABodyThatFindsNoRoomIsRefusedAndNotRun)
{
    constexpr std::size_t size = 200'000;
    served s(little_room());
    auto first = s.connect();
    first->send(upload_head(size) + std::string(size, 'x'));
    s.await(1);
    auto second = s.connect();
    second->send(upload_head(size) + std::string(size, 'y'));
    s.await_text(*second, "HTTP/1.1 503");
    s.await_text(*second, "Retry-After");
    EXPECT_EQ(s.requests.size(), 1u);
    s.held[0]->reply(200, {}, "stored");
    s.await_text(*first, "stored");
}

// Room that nobody uses any more must not be lost.
// Nothing is read while its body waits for room, so its end went unseen for as
// long, and the work on its other requests went on.
TEST(CallerServer, ACallerThatGoesWhileItsBodyWaitsForRoomIsSeen)
{
    served s(little_room());
    auto first = s.connect();
    first->send(upload_head(250'000) + std::string(100'000, 'x'));
    auto second = s.connect();
    run_for(s.loop, 20ms);
    second->send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n" + upload_head(250'000) +
                 std::string(100'000, 'x'));
    s.await(1);
    bool gone = false;
    s.held[0]->on_gone([&] { gone = true; });
    run_for(s.loop, 20ms);
    second->close();
    run_for(s.loop, 550ms); // less than the time-out of the room
    EXPECT_TRUE(gone);
}

TEST(CallerServer, CallersThatGoLeaveTheirRoomToOthers)
{
    constexpr std::size_t size = 200'000;
    served s(little_room());
    auto first = s.connect();
    first->send(upload_head(size) + std::string(100'000, 'x'));
    auto second = s.connect();
    run_for(s.loop, 50ms);
    second->send(upload_head(size) + std::string(size, 'y'));
    run_for(s.loop, 50ms);
    EXPECT_TRUE(s.requests.empty());
    first.reset();
    s.await(1);
    EXPECT_EQ(s.requests[0].body, std::string(size, 'y'));
    // The caller of a request that is being worked on goes, too.
    second.reset();
    run_for(s.loop, 50ms);
    auto third = s.connect();
    third->send(upload_head(size) + std::string(size, 'z'));
    s.await(2);
}

} // namespace
