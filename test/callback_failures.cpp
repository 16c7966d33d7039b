// A failure in one callback ended the process, 2026-12-04: each test has one
// boundary at which something throws, and looks whether the rest goes on.
#include "http_support.hpp"
#include "vanillapost/src/io/caller_server.hpp"
#include "vanillapost/src/io/datagram_socket.hpp"
#include "vanillapost/src/io/table_follower.hpp"
#include "vanillapost/src/io/target_pool.hpp"

#include <stdexcept>

namespace {

using namespace vanillapost;
using namespace vanillapost::io;
using namespace vanillapost::io::test;

[[noreturn]] void fail_on_purpose()
{
    throw std::runtime_error("on purpose");
}

/// Notes the steps of the failures that reach a loop.
struct failures
{
    std::vector<std::string> steps;

    explicit failures(event_loop& loop)
    {
        loop.on_failure([this](const callback_failure& failure) {
            steps.emplace_back(failure.step);
            EXPECT_EQ(failure.what, "on purpose");
        });
    }
};

TEST(CallbackFailure, OfATimerEndedTheLoop)
{
    event_loop loop;
    failures told(loop);
    int fired = 0;
    timer repeated(loop, [&] {
        ++fired;
        fail_on_purpose();
    });
    repeated.start_every(1ms);
    run_until(loop, [&] { return fired >= 3; });
    EXPECT_GE(told.steps.size(), 2u);
    EXPECT_EQ(told.steps[0], "run timer");
}

TEST(CallbackFailure, OfAPostedTaskLostThoseBehindIt)
{
    event_loop loop;
    failures told(loop);
    bool ran = false;
    loop.post([] { fail_on_purpose(); });
    loop.post([&] { ran = true; });
    run_until(loop, [&] { return ran; });
    EXPECT_EQ(told.steps, std::vector<std::string>{"run posted task"});
}

TEST(CallbackFailure, OfADatagramEndedTheLoop)
{
    event_loop loop;
    failures told(loop);
    std::vector<std::string> taken;
    datagram_socket receiver(loop, any_port,
                             [&](const address&, std::string_view bytes) {
                                 taken.emplace_back(bytes);
                                 if (bytes == "bad")
                                     fail_on_purpose();
                             });
    datagram_socket sender(loop, any_port,
                           [](const address&, std::string_view) {});
    sender.send(receiver.local(), "bad");
    sender.send(receiver.local(), "good");
    run_until(loop, [&] { return taken.size() == 2; });
    EXPECT_EQ(told.steps, std::vector<std::string>{"take datagram"});
}

// What ended routers: the answer to a peer's question could not be written.
TEST(CallbackFailure, OfAnAnswerEndedTheLoop)
{
    served s([](exchange_ptr e) {
        if (e->path() == "/bad")
            fail_on_purpose();
        echo(std::move(e));
    });
    failures told(s.loop);
    EXPECT_TRUE(s.call({"GET", "/bad", {}, ""}).failure);
    EXPECT_EQ(s.call({"GET", "/good", {}, ""}).status, 200);
    EXPECT_EQ(told.steps, std::vector<std::string>{"answer /bad"});
}

TEST(CallbackFailure, OfACallersRequestEndedTheLoop)
{
    event_loop loop;
    failures told(loop);
    caller_server server(loop, {}, [](std::unique_ptr<caller_exchange> e) {
        if (e->take_request().target == "/bad")
            fail_on_purpose();
        e->reply(200, {}, "ok");
    });
    const auto where = server.listen(any_port);
    auto unlucky = connect_raw(loop, where);
    unlucky->send("GET /bad HTTP/1.1\r\nHost: a\r\n\r\n");
    run_until(loop, [&] { return unlucky->closed; });
    auto next = connect_raw(loop, where);
    next->send("GET /good HTTP/1.1\r\nHost: a\r\n\r\n");
    run_until(loop, [&] { return next->received.ends_with("ok"); });
    EXPECT_EQ(told.steps, std::vector<std::string>{"take request"});
    EXPECT_EQ(server.in_flight(), 0u);
}

TEST(CallbackFailure, OfACallsHandlerLeftTheCallWithoutAnEnd)
{
    served s(&echo);
    failures told(s.loop);
    noted_call call;
    auto handlers = call.handlers();
    handlers.on_data = [](std::string_view) { fail_on_purpose(); };
    call.handle = s.client.start({"POST", "/x", {}, "body"},
                                 std::move(handlers), generous);
    run_until(s.loop, [&] { return call.ended(); });
    EXPECT_TRUE(call.failure);
    EXPECT_EQ(s.call({"GET", "/good", {}, ""}).status, 200);
    EXPECT_EQ(told.steps, std::vector<std::string>{"take data"});
}

TEST(CallbackFailure, OfAnAttemptsHandlerLeftTheAttemptWithoutAnEnd)
{
    event_loop loop;
    failures told(loop);
    raw_server target(loop);
    target_pool pool(loop, target.where, {});
    bool ended = false;
    target_call_handlers handlers;
    handlers.on_head = [](target_answer_head&&) { fail_on_purpose(); };
    handlers.on_data = [](std::string_view) {};
    handlers.on_done = [] {};
    handlers.on_failure = [&](const target_failure&) { ended = true; };
    const auto call = pool.start(
        {.bytes = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"}, std::move(handlers));
    run_until(loop, [&] { return !target.streams.empty(); });
    target.streams[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    run_until(loop, [&] { return ended; });
    EXPECT_EQ(told.steps, std::vector<std::string>{"read answer"});
    EXPECT_EQ(pool.open_connections(), 0u);
}

/// A store with one change at each question, answered on the next turn.
class busy_store : public row_store
{
public:
    explicit busy_store(event_loop& loop) : loop_(loop)
    {
    }

    void read(std::string_view, std::string_view, handler done) override
    {
        answer(std::move(done));
    }

    void follow(std::string_view, std::uint64_t, duration,
                handler done) override
    {
        answer(std::move(done));
    }

    void put(std::string_view, std::string_view, std::string_view,
             handler) override
    {
    }

    void read_row(std::string_view, std::string_view, handler) override
    {
    }

    void put_if(std::span<const row_condition>, std::string_view,
                std::string_view, std::string_view, handler) override
    {
    }

    int calls = 0;

private:
    void answer(handler done)
    {
        ++calls;
        loop_.post([this, done = std::move(done)] {
            const auto revision = static_cast<std::uint64_t>(calls);
            done(store_rows{{{"k", "v", revision, false}}, revision, false});
        });
    }

    event_loop& loop_;
};

TEST(CallbackFailure, OfAChangeLeftTheFollowerDeaf)
{
    event_loop loop;
    failures told(loop);
    busy_store store(loop);
    table_follower_handlers handlers;
    handlers.on_read = [](const std::vector<store_row>&, std::uint64_t) {
        fail_on_purpose();
    };
    handlers.on_changed = [](const std::vector<store_row>&, std::uint64_t) {
        fail_on_purpose();
    };
    table_follower follower(loop, store, "t", {.batch_delay = 1ms},
                            random_engine(1), std::move(handlers));
    follower.start();
    run_until(loop, [&] { return store.calls >= 4; });
    EXPECT_GE(told.steps.size(), 3u);
}

} // namespace
