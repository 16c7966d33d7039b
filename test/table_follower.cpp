#include "vanillapost/src/io/table_follower.hpp"
#include "io_support.hpp"

namespace {

using namespace vanillapost;
using namespace vanillapost::io;
using namespace vanillapost::io::test;

/// A store that keeps its calls until the test answers them.
class fake_store : public row_store
{
public:
    struct call
    {
        std::string kind;
        std::string first_key;
        std::uint64_t after = 0;
        duration wait{};
        handler done;
    };

    void read(std::string_view, std::string_view first_key,
              handler done) override
    {
        calls.push_back({"read", std::string(first_key), 0, {}, done});
    }

    void follow(std::string_view, std::uint64_t after, duration wait,
                handler done) override
    {
        calls.push_back({"follow", "", after, wait, done});
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

    std::vector<call> calls;
};

struct followed
{
    event_loop loop;
    fake_store store;
    std::vector<std::string> events;
    table_follower follower;

    followed()
        : follower(loop, store, "t",
                   {.longest_wait = 10s,
                    .trial_wait = 2ms,
                    .batch_delay = 1ms,
                    .first_retry = 2ms,
                    .longest_retry = 4ms},
                   random_engine(1),
                   {[this](const std::vector<store_row>& rows, std::uint64_t) {
                        events.push_back("read " + std::to_string(rows.size()));
                    },
                    [this](const std::vector<store_row>& rows, std::uint64_t) {
                        events.push_back("changed " + rows.front().key);
                    },
                    [this](const store_failure&) { events.push_back("lost"); },
                    [this] { events.push_back("back"); }})
    {
        follower.start();
    }

    /// Answers the newest call, once there are `count`.
    void answer(std::size_t count, store_result result)
    {
        run_until(loop, [&] { return store.calls.size() >= count; });
        ASSERT_EQ(store.calls.size(), count);
        auto done = store.calls.back().done;
        done(std::move(result));
    }
};

store_rows rows(std::uint64_t revision, std::vector<std::string> keys,
                bool more = false)
{
    store_rows made;
    made.revision = revision;
    made.more = more;
    for (auto& key : keys)
        made.rows.push_back({key, "v", revision, false});
    return made;
}

using strings = std::vector<std::string>;

TEST(TableFollower, ReadsAllPagesThenFollowsFromTheFirst)
{
    followed f;
    f.answer(1, rows(5, {"a", "b"}, true));
    EXPECT_EQ(f.store.calls[1].first_key, std::string("b\0", 2));
    f.answer(2, rows(9, {"c"}));
    EXPECT_EQ(f.events, strings{"read 3"});
    EXPECT_EQ(f.store.calls[2].kind, "follow");
    EXPECT_EQ(f.store.calls[2].after, 5u);
    f.answer(3, rows(10, {"a"}));
    EXPECT_EQ(f.events.back(), "changed a");
}

TEST(TableFollower, LostHistoryMeansReadingAgain)
{
    followed f;
    f.answer(1, rows(5, {"a"}));
    f.answer(2, store_failure{store_failure_kind::history_lost, "410"});
    run_until(f.loop, [&] { return f.store.calls.size() == 3; });
    EXPECT_EQ(f.store.calls[2].kind, "read");
    EXPECT_EQ(f.events, strings{"read 1"});
}

// The changes after a revision that was given out again left out others, and
// after one that was not were asked for without end.
TEST(TableFollower, ARestoredStoreIsReadAgain)
{
    followed f;
    f.answer(1, rows(5, {"a"}));
    f.answer(2, rows(make_revision(1, 9), {"b"}));
    run_until(f.loop, [&] { return f.store.calls.size() == 3; });
    EXPECT_EQ(f.store.calls[2].kind, "read");
    EXPECT_EQ(f.events, strings{"read 1"});
    f.answer(3, rows(make_revision(1, 3), {"a", "b"}));
    EXPECT_EQ(f.events.back(), "read 2");
    EXPECT_EQ(f.store.calls[3].kind, "follow");
    EXPECT_EQ(f.store.calls[3].after, make_revision(1, 3));
}

TEST(TableFollower, AStoreRestoredBetweenTwoPagesIsReadFromTheFirst)
{
    followed f;
    f.answer(1, rows(5, {"a", "b"}, true));
    f.answer(2, rows(make_revision(1, 4), {"c"}));
    run_until(f.loop, [&] { return f.store.calls.size() == 3; });
    EXPECT_EQ(f.store.calls[2].kind, "read");
    EXPECT_EQ(f.store.calls[2].first_key, "");
    f.answer(3, rows(make_revision(1, 4), {"a"}));
    EXPECT_EQ(f.events, strings{"read 1"});
}

TEST(TableFollower, AnAnswerOfAnEarlierEpochIsAFailure)
{
    followed f;
    f.answer(1, rows(make_revision(1, 5), {"a"}));
    f.answer(2, rows(9, {"b"}));
    EXPECT_EQ(f.events, (strings{"read 1", "lost"}));
    run_until(f.loop, [&] { return f.store.calls.size() == 3; });
    EXPECT_EQ(f.store.calls[2].after, make_revision(1, 5));
}

TEST(TableFollower, AnOutageIsToldOnceAndItsEndIsLookedForWithShortWaits)
{
    followed f;
    f.answer(1, rows(5, {"a"}));
    for (std::size_t i = 2; i < 6; ++i)
        f.answer(i, store_failure{store_failure_kind::unreachable, "down"});
    EXPECT_FALSE(f.follower.is_reachable());
    run_until(f.loop, [&] { return f.store.calls.size() == 6; });
    EXPECT_LT(f.store.calls.back().wait, 1s);
    EXPECT_EQ(f.store.calls.back().after, 5u);
    f.answer(6, rows(6, {}));
    EXPECT_EQ(f.events, (strings{"read 1", "lost", "back"}));
    run_until(f.loop, [&] { return f.store.calls.size() == 7; });
    EXPECT_EQ(f.store.calls.back().wait, 10s);
}

TEST(TableFollower, AnOutageAtTheStartEndsInAWholeReading)
{
    followed f;
    f.answer(1, store_failure{store_failure_kind::refused, "503"});
    f.answer(2, rows(5, {"a"}));
    EXPECT_EQ(f.events, (strings{"lost", "back", "read 1"}));
}

// A store that is silent is noticed within the first short wait, not after a
// long one.
TEST(TableFollower, TheFirstCallOfAResumptionIsATrial)
{
    followed f;
    f.follower.start(7);
    EXPECT_LT(f.store.calls.back().wait, 1s);
    EXPECT_FALSE(f.follower.is_confirmed());
    f.answer(2, rows(7, {}));
    EXPECT_TRUE(f.follower.is_confirmed());
    run_until(f.loop, [&] { return f.store.calls.size() == 3; });
    EXPECT_EQ(f.store.calls.back().wait, 10s);
}

TEST(TableFollower, ResumesWhereAnotherInstanceKnowsTheTable)
{
    followed f;
    f.follower.stop();
    f.follower.start(7);
    EXPECT_EQ(f.store.calls.back().kind, "follow");
    EXPECT_EQ(f.store.calls.back().after, 7u);
    // The call before the stop is still answered, to nobody.
    f.store.calls.front().done(rows(5, {"a"}));
    EXPECT_TRUE(f.events.empty());
}

TEST(TableFollower, LateAnswersReachNobodyWhoIsGone)
{
    fake_store store;
    {
        event_loop loop;
        table_follower gone(loop, store, "t", {}, random_engine(1), {});
        gone.start();
    }
    store.calls[0].done(rows(1, {}));
}

} // namespace
