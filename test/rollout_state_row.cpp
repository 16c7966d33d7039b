#include "rollouts/rollout_state_row.hpp"

#include "../platform/adapter.hpp"
#include "io_support.hpp"

#include <algorithm>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>

namespace {

using namespace vanillapost;
using namespace vanillapost::io;
using namespace vanillapost::io::test;
using router::rollout_state_row;

/// What becomes of a write.
enum class fate
{
    answered,
    answer_lost,    ///< it is done
    not_done,       ///< no answer, and it never is done
    done_much_later ///< no answer; done once `do_late_writes` is called
};

/// Rows with revisions, as the store keeps them.
class fake_rows : public row_store
{
public:
    struct call
    {
        std::vector<row_condition> expected;
        std::string value;
    };

    explicit fake_rows(event_loop& loop) : loop_(loop)
    {
    }

    void read(std::string_view, std::string_view, handler) override
    {
    }

    void follow(std::string_view, std::uint64_t, duration, handler) override
    {
    }

    void put(std::string_view, std::string_view, std::string_view,
             handler) override
    {
    }

    void read_row(std::string_view table, std::string_view key,
                  handler done) override
    {
        ++calls;
        store_result result = store_failure{store_failure_kind::refused, "503"};
        if (!away) {
            store_rows rows;
            rows.revision = revision;
            const auto found = stored.find(name(table, key));
            if (found != stored.end())
                rows.rows.push_back(found->second);
            result = std::move(rows);
        }
        answer(std::move(done), std::move(result));
    }

    void put_if(std::span<const row_condition> expected, std::string_view,
                std::string_view, std::string_view value, handler done) override
    {
        ++calls;
        const call made{{expected.begin(), expected.end()}, std::string(value)};
        const auto what = next_fate;
        const bool lost = what != fate::answered;
        if (what == fate::done_much_later)
            late.push_back(made);
        const bool runs = what == fate::answered || what == fate::answer_lost;
        const bool kept = runs && apply(made);
        store_result result = store_rows{{}, revision, false};
        if (lost)
            result = store_failure{store_failure_kind::unreachable, "silent"};
        else if (!kept)
            result = store_failure{store_failure_kind::conflict, "412"};
        answer(std::move(done), std::move(result));
    }

    void do_late_writes()
    {
        for (const auto& each : std::exchange(late, {}))
            apply(each);
    }

    void set(const std::string& table, const std::string& key,
             const std::string& value)
    {
        stored[name(table, key)] = {key, value, ++revision, false};
    }

    std::string state_of(const std::string& service) const
    {
        const auto found = stored.find(name("status", "rollout/" + service));
        return found == stored.end() ? "" : found->second.value;
    }

    fate next_fate = fate::answered;
    bool away = false;
    int calls = 0;
    std::uint64_t revision = 10;
    std::map<std::string, store_row> stored;
    std::vector<call> late;
    std::vector<std::string> history; ///< of what was written

private:
    static std::string name(std::string_view table, std::string_view key)
    {
        return std::string(table) + ":" + std::string(key);
    }

    bool apply(const call& made)
    {
        for (const auto& each : made.expected) {
            const auto found = stored.find(name(each.table, each.key));
            const auto now = found == stored.end() ? 0 : found->second.revision;
            if (now != each.revision)
                return false;
        }
        set(made.expected[0].table, made.expected[0].key, made.value);
        history.push_back(made.value);
        return true;
    }

    void answer(handler done, store_result result)
    {
        loop_.post([done = std::move(done), result = std::move(result)] {
            done(result);
        });
    }

    event_loop& loop_;
};

/// A store with an order, and two instances that may decide on it.
struct ordered
{
    event_loop loop;
    fake_rows rows{loop};
    router::platform_adapter adapter = platform::make_platform_adapter();
    rollout_order order;
    std::vector<std::string> ends;
    std::unique_ptr<rollout_state_row> one;
    std::unique_ptr<rollout_state_row> two;

    ordered()
    {
        give_order();
        one = make();
        two = make();
    }

    void give_order()
    {
        rows.set("op", "rollout/s", "the order");
        order = {{"s"}, "v2", 60s, rows.revision};
    }

    std::unique_ptr<rollout_state_row> make()
    {
        return std::make_unique<rollout_state_row>(
            loop, rows, adapter.rows, order,
            [this](std::string_view failure) { ends.emplace_back(failure); });
    }

    void write(rollout_state_row& row, rollout_state state)
    {
        const auto before = ends.size();
        row.write(state);
        if (rows.calls > 0)
            run_until(loop, [&] { return ends.size() > before; });
    }

    /// Until the store's answer has come, over the pauses between steps.
    void settle(rollout_state_row& row, rollout_state state)
    {
        const auto is_settled = [&] {
            return row.state() && row.state() != rollout_state::serving;
        };
        run_until(loop, [&] {
            row.write(state);
            return is_settled();
        });
    }

    void wait(duration time)
    {
        bool over = false;
        timer limit(loop, [&] { over = true; });
        limit.start_once(time);
        run_until(loop, [&] { return over; });
    }
};

TEST(RolloutStateRow, AStateIsWrittenUnderTheRowAndTheOrder)
{
    ordered test;
    test.write(*test.one, rollout_state::serving);
    EXPECT_EQ(test.one->state(), rollout_state::serving);
    EXPECT_EQ(test.rows.state_of("s"), R"({"state":"serving","target":"v2"})");
    test.wait(60ms);
    test.write(*test.one, rollout_state::completed);
    EXPECT_EQ(test.one->state(), rollout_state::completed);
    EXPECT_EQ(test.rows.history.size(), 2U);
}

TEST(RolloutStateRow, ALostAnswerIsReadBackAndNothingIsWrittenTwice)
{
    ordered test;
    test.rows.next_fate = fate::answer_lost;
    test.write(*test.one, rollout_state::completed);
    EXPECT_EQ(test.one->state(), std::nullopt);
    test.settle(*test.one, rollout_state::completed);
    EXPECT_EQ(test.one->state(), rollout_state::completed);
    EXPECT_EQ(test.rows.history.size(), 1U);
}

TEST(RolloutStateRow, WhoDecidesDifferentlyTakesWhatStands)
{
    ordered test;
    test.rows.next_fate = fate::answer_lost;
    test.write(*test.one, rollout_state::completed);
    test.rows.next_fate = fate::answered;
    test.settle(*test.two, rollout_state::rolled_back);
    EXPECT_EQ(test.two->state(), rollout_state::completed);
    EXPECT_EQ(test.rows.history.size(), 1U);
}

TEST(RolloutStateRow, AWriteThatIsDoneLateChangesNoFinalState)
{
    ordered test;
    test.rows.next_fate = fate::done_much_later;
    test.write(*test.one, rollout_state::completed);
    test.rows.next_fate = fate::answered;
    test.settle(*test.two, rollout_state::rolled_back);
    test.rows.do_late_writes();
    EXPECT_EQ(test.rows.state_of("s"),
              R"({"state":"rolled_back","target":"v2"})");
    test.settle(*test.one, rollout_state::completed);
    EXPECT_EQ(test.one->state(), rollout_state::rolled_back);
}

// It would end the next roll-out of the same version before it began.
TEST(RolloutStateRow, AWriteForAnEarlierOrderIsNotDone)
{
    ordered test;
    test.rows.next_fate = fate::done_much_later;
    test.write(*test.one, rollout_state::completed);
    test.give_order();
    test.rows.do_late_writes();
    EXPECT_EQ(test.rows.state_of("s"), "");
}

TEST(RolloutStateRow, TheStateOfAnEarlierOrderIsNoneOfThisOne)
{
    ordered test;
    test.write(*test.one, rollout_state::rolled_back);
    test.give_order();
    const auto later = test.make();
    later->read();
    run_until(test.loop, [&] { return later->is_known(); });
    EXPECT_EQ(later->state(), std::nullopt);
    test.settle(*later, rollout_state::completed);
    EXPECT_EQ(test.rows.state_of("s"),
              R"({"state":"completed","target":"v2"})");
}

TEST(RolloutStateRow, AStoreThatIsAwayIsNotAskedWithoutAPause)
{
    ordered test;
    test.rows.away = true;
    test.write(*test.one, rollout_state::completed);
    EXPECT_EQ(test.rows.calls, 1);
    for (int i = 0; i < 100; ++i)
        test.one->write(rollout_state::completed);
    EXPECT_EQ(test.rows.calls, 1);
    EXPECT_FALSE(test.one->is_known());
    test.rows.away = false;
    test.settle(*test.one, rollout_state::completed);
    EXPECT_EQ(test.rows.state_of("s"),
              R"({"state":"completed","target":"v2"})");
}

// Whatever is lost or done late, at most one final state ever stands there.
RC_GTEST_PROP(RolloutStateRow, OneOrderHasOneFinalState, ())
{
    ordered test;
    const auto steps =
        *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            12, rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange(0, 2),
                               rc::gen::inRange(0, 4)));
    for (const auto& [what, who, action] : steps) {
        test.rows.next_fate = static_cast<fate>(what);
        if (action == 3) {
            test.rows.do_late_writes();
            continue;
        }
        // A new one each time: instances end and others take over.
        auto row = test.make();
        const auto before = test.ends.size();
        row->write(who == 0 ? rollout_state::completed
                            : rollout_state::rolled_back);
        run_until(test.loop, [&] { return test.ends.size() > before; });
    }
    test.rows.do_late_writes();
    std::set<std::string> finals(test.rows.history.begin(),
                                 test.rows.history.end());
    RC_ASSERT(finals.size() <= 1U);
    RC_ASSERT(test.rows.history.size() <= 1U);
}

} // namespace
