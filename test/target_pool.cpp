#include "vanillapost/src/io/target_pool.hpp"
#include "io_support.hpp"

namespace {

using namespace vanillapost;
using namespace vanillapost::io;
using namespace vanillapost::io::test;

const std::string request_bytes = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string answer = "HTTP/1.1 200 OK\r\nId: 1\r\n"
                           "Content-Length: 2\r\n\r\nok";

/// A call that notes how it ended.
struct noted
{
    target_answer_head head;
    std::string body;
    bool done = false;
    std::optional<target_failure> failure;
    std::unique_ptr<target_call> call;

    bool ended() const
    {
        return done || failure;
    }

    target_call_handlers handlers()
    {
        return {[this](target_answer_head&& got) { head = std::move(got); },
                [this](std::string_view data) { body += data; },
                [this] { done = true; },
                [this](const target_failure& why) { failure = why; }};
    }
};

/// A pool, and a target that answers as the test says.
struct pooled
{
    event_loop loop;
    raw_server target{loop};
    target_pool pool;

    explicit pooled(target_pool_settings settings = {})
        : pool(loop, target.where, named(std::move(settings)))
    {
    }

    static target_pool_settings named(target_pool_settings settings)
    {
        settings.id_header = "Id";
        return settings;
    }

    void start(noted& call, duration max_silence = duration::max())
    {
        call.call = pool.start({request_bytes, "1", false, max_silence},
                               call.handlers());
    }

    /// Waits for the request on the newest connection.
    raw_stream& await_request(std::size_t connections = 1)
    {
        run_until(loop, [&] {
            return target.streams.size() >= connections &&
                   target.streams.back()->received.ends_with("\r\n\r\n");
        });
        auto& stream = *target.streams.back();
        stream.received.clear();
        return stream;
    }

    void await(const noted& call)
    {
        run_until(loop, [&] { return call.ended(); });
    }

    void serve(noted& call, const std::string& bytes,
               std::size_t connections = 1)
    {
        start(call);
        await_request(connections).send(bytes);
        await(call);
    }
};

TEST(TargetPool, AConnectionIsUsedAgain)
{
    pooled p;
    for (int i = 0; i < 3; ++i) {
        noted call;
        p.serve(call, answer);
        EXPECT_TRUE(call.done);
        EXPECT_EQ(call.body, "ok");
        EXPECT_EQ(call.head.length, 2u);
    }
    EXPECT_EQ(p.pool.connections_made(), 1u);
}

// The rest of an answer that was paused came in the same read, and the link
// went back into the pool without reading.
TEST(TargetPool, AConnectionThatWasPausedIsReadForTheNextCall)
{
    pooled p;
    noted first;
    auto handlers = first.handlers();
    handlers.on_data = [&](std::string_view) { first.call->pause(); };
    first.call = p.pool.start({request_bytes, "1"}, std::move(handlers));
    p.await_request().send(answer);
    p.await(first);
    noted second;
    p.start(second);
    p.await_request().send(answer);
    run_for(p.loop, 100ms);
    EXPECT_TRUE(second.done);
    EXPECT_EQ(second.body, "ok");
    EXPECT_EQ(p.target.streams.size(), 1u);
}

TEST(TargetPool, BytesBehindAnAnswerEndTheConnection)
{
    pooled p;
    noted call;
    p.serve(call, answer + answer);
    EXPECT_TRUE(call.done);
    EXPECT_EQ(call.body, "ok");
    EXPECT_FALSE(p.pool.has_idle());
}

// The protocol knows statuses from 100 to 599. Below 200 they were taken for
// interim answers, so that the call waited for another answer, and what stood
// in the body was read as that; above 599 they were passed on.
class AnswerWithoutAStatus : public testing::TestWithParam<const char*>
{
};

TEST_P(AnswerWithoutAStatus, IsNoAnswer)
{
    const std::string status = GetParam();
    const std::string inner =
        "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\ninner";
    for (const std::string body : {std::string(), std::string("ok"), inner}) {
        pooled p;
        noted call;
        p.start(call);
        auto& stream = p.await_request();
        stream.send("HTTP/1.1 " + status + " X\r\nId: 1\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
        run_for(p.loop, 100ms);
        EXPECT_FALSE(call.done) << body;
        ASSERT_TRUE(call.failure) << body;
        EXPECT_TRUE(call.failure->sent);
        EXPECT_EQ(call.failure->fault, answer_fault::malformed);
        EXPECT_EQ(call.head.status, 0);
        EXPECT_EQ(call.body, "");
        EXPECT_FALSE(p.pool.has_idle());
    }
}

INSTANTIATE_TEST_SUITE_P(TargetPool, AnswerWithoutAStatus,
                         testing::Values("000", "0", "7", "099", "99", "600",
                                         "999"));

// A second answer to an earlier call comes where the next answer is due.
TEST(TargetPool, AnAnswerWithAnotherIdIsDroppedAndTheRightOneAwaited)
{
    pooled p;
    noted call;
    p.serve(call, "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nold" +
                      answer);
    EXPECT_TRUE(call.done);
    EXPECT_EQ(call.body, "ok");
    EXPECT_FALSE(p.pool.has_idle());
}

// Callers were told that a request had not run, by an earlier refusal that a
// target wrote once more.
TEST(TargetPool, ARefusalWrittenOnceMoreIsNotTheNextAnswer)
{
    const std::string refusal = "HTTP/1.1 503 Full\r\nId: 0\r\nNot-Run: 1\r\n"
                                "Content-Length: 0\r\n\r\n";
    pooled p;
    noted before;
    before.call = p.pool.start({request_bytes, "0", false}, before.handlers());
    auto& stream = p.await_request();
    stream.send(refusal);
    p.await(before);
    EXPECT_EQ(before.head.status, 503);
    noted call;
    p.start(call);
    p.await_request();
    stream.send(refusal);
    for (int i = 0; i < 20; ++i)
        run_until(p.loop, [] { return true; });
    EXPECT_EQ(call.head.status, 0);
    stream.send(answer);
    p.await(call);
    EXPECT_TRUE(call.done);
    EXPECT_EQ(call.head.status, 200);
    EXPECT_FALSE(p.pool.has_idle());
}

// Without an id nothing tells its copy from the next answer: bookings ran at
// two targets, as the copy of a refusal was believed.
TEST(TargetPool, AConnectionIsNotUsedAgainAfterARefusalWithoutAnId)
{
    const std::string refusal = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n"
                                "Content-Length: 0\r\n\r\n";
    for (const auto* id : {"1", ""}) { // a request, and a probe
        pooled p;
        noted before;
        before.call =
            p.pool.start({request_bytes, id, false}, before.handlers());
        p.await_request().send(refusal);
        p.await(before);
        EXPECT_EQ(before.head.status, 503);
        EXPECT_FALSE(p.pool.has_idle());
        noted call;
        p.serve(call, answer, 2);
        EXPECT_TRUE(call.done);
        EXPECT_EQ(call.body, "ok");
    }
}

TEST(TargetPool, AConnectionIsUsedAgainAfterAProbe)
{
    pooled p;
    noted probe;
    probe.call = p.pool.start({request_bytes, "", false}, probe.handlers());
    p.await_request().send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    p.await(probe);
    EXPECT_TRUE(p.pool.has_idle());
}

// Callers got a 200 with an empty body, framed as whole.
TEST(TargetPool, AnAnswerThatEndsWithinItsHeadIsNoAnswer)
{
    const std::string head =
        "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\n";
    for (std::size_t size = 1; size < head.size(); ++size) {
        pooled p;
        noted call;
        p.start(call);
        auto& stream = p.await_request();
        stream.send(head.substr(0, size));
        stream.close();
        p.await(call);
        ASSERT_TRUE(call.failure) << size;
        EXPECT_TRUE(call.failure->sent) << size;
        EXPECT_EQ(call.head.status, 0) << size;
    }
}

TEST(TargetPool, UnaskedBytesOnAnIdleConnectionEndIt)
{
    pooled p;
    noted call;
    p.serve(call, answer);
    EXPECT_TRUE(p.pool.has_idle());
    p.target.streams.back()->send(answer);
    run_until(p.loop, [&] { return !p.pool.has_idle(); });
}

TEST(TargetPool, AnAnswerWithoutALengthIsCompleteOnlyWhenClosedInOrder)
{
    const std::string head = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it";
    pooled p;
    noted call;
    p.start(call);
    auto& stream = p.await_request();
    stream.send(head);
    run_until(p.loop, [&] { return call.body == "all of it"; });
    EXPECT_FALSE(call.ended());
    stream.close();
    p.await(call);
    EXPECT_TRUE(call.done);
}

TEST(TargetPool, ATruncatedAnswerFailsAndMayHaveRun)
{
    pooled p;
    noted call;
    p.start(call);
    auto& stream = p.await_request();
    stream.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf");
    run_until(p.loop, [&] { return call.body == "half"; });
    stream.close();
    p.await(call);
    ASSERT_TRUE(call.failure);
    EXPECT_TRUE(call.failure->sent);
}

TEST(TargetPool, BytesThatAreNoAnswerFail)
{
    pooled p;
    noted call;
    p.serve(call, "garbage\r\n\r\n");
    ASSERT_TRUE(call.failure);
    EXPECT_TRUE(call.failure->sent);
}

TEST(TargetPool, ARefusedConnectionWasNotSent)
{
    event_loop loop;
    address nobody;
    {
        raw_server closed(loop);
        nobody = closed.where;
    }
    target_pool pool(loop, nobody, pooled::named({}));
    noted call;
    call.call = pool.start({request_bytes, "1"}, call.handlers());
    EXPECT_FALSE(call.ended());
    run_until(loop, [&] { return call.ended(); });
    ASSERT_TRUE(call.failure);
    EXPECT_FALSE(call.failure->sent);
}

TEST(TargetPool, DestroyingACallClosesItsConnection)
{
    pooled p;
    noted call;
    p.start(call);
    auto& stream = p.await_request();
    call.call.reset();
    run_until(p.loop, [&] { return stream.closed; });
    EXPECT_FALSE(call.ended());
    EXPECT_EQ(p.pool.open_connections(), 0u);
}

// A request that may run once is not risked on a connection that has been
// silent: the target may have dropped it without a word.
TEST(TargetPool, ASilentConnectionIsNotUsedWhereALossCouldNotBeRepeated)
{
    pooled p;
    noted first;
    p.serve(first, answer);
    run_for(p.loop, 30ms);
    noted second;
    p.start(second, 10ms);
    p.await_request(2).send(answer);
    p.await(second);
    EXPECT_TRUE(second.done);
    EXPECT_EQ(p.pool.connections_made(), 2u);
}

TEST(TargetPool, ConnectionsAreGivenUpBeforeTheirTargetClosesThem)
{
    pooled p;
    noted call;
    p.serve(call, "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=2\r\n"
                  "Content-Length: 0\r\n\r\n");
    EXPECT_TRUE(p.pool.has_idle());
    p.pool.sweep(p.loop.now() + 600ms);
    EXPECT_FALSE(p.pool.has_idle());
}

TEST(TargetPool, ATargetThatSaysCloseIsNotUsedAgain)
{
    pooled p;
    noted call;
    p.serve(call, "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n"
                  "Content-Length: 0\r\n\r\n");
    EXPECT_TRUE(call.done);
    EXPECT_FALSE(p.pool.has_idle());
}

TEST(TargetPool, NoMoreConnectionsThanAllowed)
{
    pooled p({.max_connections = 1});
    noted one;
    noted other;
    p.start(one);
    p.start(other);
    p.await(other);
    ASSERT_TRUE(other.failure);
    EXPECT_FALSE(other.failure->sent);
    EXPECT_FALSE(one.ended());
}

// 304 may say the length that the whole answer would have; that body was
// waited for until the deadline.
TEST(TargetPool, AnAnswerThatHasNoBodyEndsWithItsHead)
{
    for (const std::string_view status : {"304 Not Modified", "204 None"}) {
        pooled p;
        noted call;
        p.start(call);
        p.await_request().send("HTTP/1.1 " + std::string(status) +
                               "\r\nId: 1\r\nContent-Length: 5\r\n\r\n");
        run_for(p.loop, 50ms);
        EXPECT_TRUE(call.done) << status;
    }
}

// Its coding would be lost on the way, and its bytes passed on as the body.
TEST(TargetPool, AnAnswerWithACodedTransferFails)
{
    pooled p;
    noted call;
    p.serve(call, "HTTP/1.1 200 OK\r\nId: 1\r\n"
                  "Transfer-Encoding: gzip, chunked\r\n\r\n"
                  "3\r\nabc\r\n0\r\n\r\n");
    ASSERT_TRUE(call.failure);
    EXPECT_TRUE(call.failure->sent);
    EXPECT_TRUE(call.body.empty());
}

// Header values are written on to the caller.
TEST(TargetPool, NoHeaderOfATargetHoldsAnotherLine)
{
    // The fold is behind a header of its own: behind the id it would name
    // another call.
    const std::vector<std::string> heads = {
        "X: a\rY: b",     "X: a\r\n b",
        "X: a\n\tb",      std::string("X: a\0b", 6),
        "X: a\r\r\nY: b", "X\xff: a",
        "X: a\r\n\r: b",  ": a",
        "X Y: a",         "X: \xff\xc1",
        "X: \x7f",        "X:\r\n\tX: a"};
    for (const auto& head : heads) {
        pooled p;
        noted call;
        p.serve(call, "HTTP/1.1 200 OK\r\nId: 1\r\n" + head +
                          "\r\nContent-Length: 2\r\n\r\nok");
        for (const auto& field : call.head.headers) {
            const auto text = field.name + field.value;
            EXPECT_EQ(text.find_first_of(std::string_view("\r\n\0", 3)),
                      std::string::npos)
                << head;
            EXPECT_EQ(field.name.find_first_of(" :\t\xff"), std::string::npos)
                << head;
        }
        EXPECT_TRUE(call.failure || call.body == "ok") << head;
    }
}

TEST(TargetPool, AnswersOfTwoLengthsFail)
{
    for (const std::string_view head :
         {"Content-Length: 2\r\nContent-Length: 3",
          "Content-Length: 2\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding: chunked\r\nContent-Length: 2",
          "Content-Length: -2", "Content-Length : 2",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"}) {
        pooled p;
        noted call;
        p.serve(call, "HTTP/1.1 200 OK\r\nId: 1\r\n" + std::string(head) +
                          "\r\n\r\nok");
        EXPECT_TRUE(call.failure) << head;
        EXPECT_TRUE(call.body.empty()) << head;
    }
}

// A request that was placed went out although its target had left meanwhile.
TEST(TargetPool, WhatIsNoLongerWantedWhenConnectedDoesNotGoOut)
{
    pooled p;
    noted call;
    bool asked = false;
    call.call = p.pool.start({.bytes = request_bytes,
                              .id = "1",
                              .is_wanted =
                                  [&] {
                                      asked = true;
                                      return false;
                                  }},
                             call.handlers());
    p.await(call);
    EXPECT_TRUE(asked);
    ASSERT_TRUE(call.failure);
    EXPECT_FALSE(call.failure->sent);
    run_until(p.loop, [&] {
        return !p.target.streams.empty() && p.target.streams[0]->closed;
    });
    EXPECT_TRUE(p.target.streams[0]->received.empty());
}

TEST(TargetPool, InterimAnswersAreSkipped)
{
    pooled p;
    noted call;
    p.serve(call, "HTTP/1.1 100 Continue\r\n\r\n" + answer);
    EXPECT_TRUE(call.done);
    EXPECT_EQ(call.head.status, 200);
}

} // namespace
