/// The end of a connection, with its events in every order.

#include "vanillapost/src/io/detail/connection_end.hpp"

#include <deque>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace vanillapost::io::detail;

/// A connection without sockets: requests are taken, and answered in any order.
struct connection_model
{
    struct request
    {
        bool begun = false;
        bool says_close = false;
    };

    connection_end end;
    server_phase phase = server_phase::serving;
    std::deque<request> requests; ///< all that were taken
    bool reading = false;
    bool is_last_chosen = false;
    /// Taken since an answer began, or the server closed, with the end due.
    std::size_t taken_since_due = 0;
    bool due = false;

    connection_load load() const
    {
        return {requests.size(), !requests.empty() && requests.back().begun,
                reading};
    }

    void choose(bool chosen)
    {
        RC_ASSERT(!chosen || !is_last_chosen);
        if (!chosen)
            return;
        is_last_chosen = true;
        RC_ASSERT(!requests.back().begun);
        requests.back().says_close = true;
    }

    void read_a_part()
    {
        if (end.takes_requests())
            reading = true;
    }

    void take()
    {
        if (!end.takes_requests())
            return;
        RC_ASSERT(!is_last_chosen);
        reading = false;
        requests.emplace_back();
        if (due)
            ++taken_since_due;
        choose(end.on_request_taken(phase, load()));
    }

    void begin_answer(std::size_t which)
    {
        if (requests.empty())
            return;
        auto& chosen = requests[which % requests.size()];
        if (chosen.begun)
            return;
        choose(end.on_answer_begins(phase, load()));
        chosen.begun = true;
        if (phase != server_phase::serving)
            due = true;
    }

    void set_phase(server_phase next)
    {
        if (phase == server_phase::closing)
            return;
        phase = next;
        if (phase == server_phase::serving && end.takes_requests()) {
            due = false;
            taken_since_due = 0;
        }
        if (phase != server_phase::closing)
            return;
        if (!requests.empty())
            due = true;
        choose(end.on_server_closing(load()));
    }

    void check() const
    {
        for (std::size_t i = 0; i + 1 < requests.size(); ++i)
            RC_ASSERT(!requests[i].says_close);
        RC_ASSERT(end.takes_requests() == !is_last_chosen);
        if (is_last_chosen)
            RC_ASSERT(requests.back().says_close);
        // The one that is being read, or that follows a begun answer.
        RC_ASSERT(taken_since_due <= 1u);
    }
};

void step(connection_model& model)
{
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
        model.set_phase(server_phase::serving);
        break;
    case 1:
        model.set_phase(server_phase::leaving);
        break;
    case 2:
        model.set_phase(server_phase::closing);
        break;
    case 3:
        model.read_a_part();
        break;
    case 4:
    case 5:
        model.take();
        break;
    default:
        model.begin_answer(*rc::gen::inRange<std::size_t>(0, 8));
    }
}

// A busy pipeline was never told: its last request had been chosen only if
// nothing was behind it when its answer began.
RC_GTEST_PROP(ConnectionEnd, NamesOneLastRequestWhateverTheOrderOfEvents, ())
{
    connection_model model;
    const auto steps = *rc::gen::inRange(0, 60);
    for (int i = 0; i < steps; ++i) {
        step(model);
        model.check();
    }
    // However it stands, a closing server ends it with the next request.
    model.set_phase(server_phase::closing);
    model.take();
    model.check();
    RC_ASSERT(!model.end.takes_requests());
}

TEST(ConnectionEnd, ARequestThatIsBeingReadIsTakenAndIsTheLast)
{
    connection_end end;
    EXPECT_FALSE(end.on_answer_begins(server_phase::leaving, {1, false, true}));
    EXPECT_TRUE(end.takes_requests());
    EXPECT_TRUE(end.on_request_taken(server_phase::leaving, {2, false, false}));
    EXPECT_FALSE(end.takes_requests());
}

TEST(ConnectionEnd, RequestsSentTogetherBeforeTheFirstAnswerAreAllTaken)
{
    connection_end end;
    for (std::size_t taken = 1; taken <= 3; ++taken)
        EXPECT_FALSE(end.on_request_taken(server_phase::leaving,
                                          {taken, false, taken < 3}));
    EXPECT_TRUE(end.on_answer_begins(server_phase::leaving, {3, false, false}));
}

TEST(ConnectionEnd, ItEndsOnceWhateverCameBefore)
{
    connection_end end;
    end.take_no_more();
    end.shut_down();
    end.take_no_more();
    EXPECT_TRUE(end.is_shut_down());
    EXPECT_TRUE(end.end());
    end.take_no_more();
    EXPECT_TRUE(end.has_ended());
    EXPECT_FALSE(end.end());
}

} // namespace
