#include "state/restored_rows.hpp"
#include "state/revision_clock.hpp"
#include "state/state_table.hpp"

#include "vanillapost/src/io/detail/cbor.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace vanillapost;
using namespace vanillapost::router;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};

io::store_row put(const std::string& key, std::uint64_t epoch,
                  std::uint64_t number, const std::string& value = "v")
{
    return {key, value, make_revision(epoch, number), false};
}

io::store_row removed(const std::string& key, std::uint64_t epoch,
                      std::uint64_t number)
{
    return {key, "", make_revision(epoch, number), true};
}

state_difference whole(std::uint64_t epoch, std::uint64_t number,
                       std::vector<io::store_row> rows)
{
    state_difference result;
    result.revision = make_revision(epoch, number);
    result.whole = true;
    result.rows = std::move(rows);
    return result;
}

state_difference changes(std::uint64_t after, std::uint64_t upto,
                         std::vector<io::store_row> rows)
{
    state_difference result;
    result.after = after;
    result.revision = upto;
    result.rows = std::move(rows);
    return result;
}

std::map<std::string, std::string> present(const state_table& table)
{
    std::map<std::string, std::string> result;
    for (const auto& [key, row] : table.rows())
        if (!row.removed)
            result.emplace(key, row.value);
    return result;
}

state_table known_table()
{
    state_table table;
    table.apply(whole(0, 30, {put("config", 0, 28, "r4")}), start);
    table.apply(changes(30, 32, {put("config", 0, 32, "r9")}), start);
    return table;
}

RC_GTEST_PROP(StoreRevision, OrdersByEpochFirst, ())
{
    const auto epoch = *rc::gen::inRange<std::uint64_t>(0, max_store_epoch);
    const auto one =
        *rc::gen::inRange<std::uint64_t>(0, max_revision_number + 1);
    const auto other =
        *rc::gen::inRange<std::uint64_t>(0, max_revision_number + 1);
    RC_ASSERT(make_revision(epoch + 1, one) > make_revision(epoch, other));
    RC_ASSERT(epoch_of(make_revision(epoch, one)) == epoch);
    RC_ASSERT(number_of(make_revision(epoch, one)) == one);
    RC_ASSERT(make_revision(0, one) == one);
    RC_ASSERT(make_revision(epoch + 1, one) <= max_exact_whole);
}

TEST(StoreRevision, OneOutOfRangeIsRefused)
{
    EXPECT_THROW(make_revision(max_store_epoch + 1, 0), error);
    EXPECT_THROW(make_revision(0, max_revision_number + 1), error);
    EXPECT_EQ(revision_text(make_revision(2, 480)), "2:480");
    EXPECT_EQ(revision_text(480), "480");
}

// A change confirmed after a restore counted as known, since the store had
// given out its revision before.
TEST(RestoredStore, AChangeOfAnUsedRevisionWasIgnored)
{
    auto table = known_table();
    table.apply(whole(1, 31, {put("config", 1, 31, "r6")}), start);
    const auto changed =
        table.apply(changes(make_revision(1, 31), make_revision(1, 32),
                            {put("config", 1, 32, "r12")}),
                    start);
    ASSERT_EQ(changed.size(), 1U);
    EXPECT_EQ(present(table).at("config"), "r12");
    EXPECT_EQ(table.revision(), make_revision(1, 32));
}

TEST(RestoredStore, AnAnswerOfTheEarlierEpochThatArrivesLateIsIgnored)
{
    auto table = known_table();
    table.apply(whole(1, 20, {put("config", 1, 18, "r4")}), start);
    EXPECT_TRUE(table.apply(whole(0, 40, {put("config", 0, 39, "old")}), start)
                    .empty());
    EXPECT_TRUE(
        table.apply(changes(32, 33, {put("config", 0, 33, "old")}), start)
            .empty());
    EXPECT_TRUE(
        table.apply(changes(32, 33, {put("other", 0, 33, "old")}), start)
            .empty());
    EXPECT_EQ(present(table).at("config"), "r4");
}

TEST(RestoredStore, OfTwoRestoresInARowTheLaterCounts)
{
    auto table = known_table();
    table.apply(whole(2, 10, {put("config", 2, 9, "second")}), start);
    table.apply(whole(1, 25, {put("config", 1, 24, "first")}), start);
    EXPECT_EQ(present(table).at("config"), "second");
}

// A member behind the restore gets the whole table: the changes since its
// revision would leave out what the restored store lacks.
TEST(RestoredStore, AMemberOfTheEarlierEpochGetsTheWholeTable)
{
    auto sender = known_table();
    sender.apply(whole(1, 31, {put("config", 1, 31, "r6")}), start);
    const auto told = sender.since(make_revision(0, 32));
    EXPECT_TRUE(told.whole);
    auto receiver = known_table();
    receiver.apply(changes(32, 33, {put("lost", 0, 33)}), start);
    receiver.apply(told, start);
    EXPECT_EQ(present(receiver), present(sender));
    EXPECT_EQ(receiver.revision(), sender.revision());
}

TEST(RestoredStore, ChangesAfterTheRestoreLeaveAGapUntilTheCopyIsKnown)
{
    auto table = known_table();
    table.apply(changes(make_revision(1, 31), make_revision(1, 32),
                        {put("config", 1, 32, "r12")}),
                start);
    EXPECT_EQ(present(table).at("config"), "r12");
    EXPECT_EQ(table.revision(), make_revision(0, 32));
    EXPECT_FALSE(table.gaps(make_revision(1, 32)).empty());
}

// A restored store showed every row as changed, and all were sent to peers.
TEST(RestoredStore, RowsThatAreAsBeforeAreNoChanges)
{
    auto table = known_table();
    EXPECT_TRUE(
        table.apply(whole(1, 32, {put("config", 1, 32, "r9")}), start).empty());
    // But one that is written again later is.
    EXPECT_EQ(table
                  .apply(changes(make_revision(1, 32), make_revision(1, 33),
                                 {put("config", 1, 33, "r9")}),
                         start)
                  .size(),
              1U);
}

// Members that hear of a restore in any order end with the store's rows.
RC_GTEST_PROP(RestoredStore, MembersAgreeWhateverTheOrder, ())
{
    std::vector<state_difference> told = {
        whole(0, 5, {put("a", 0, 4), put("b", 0, 5)}),
        changes(5, 7, {put("a", 0, 6, "lost"), removed("b", 0, 7)}),
        whole(1, 5, {put("a", 1, 4), put("b", 1, 5)}),
        changes(make_revision(1, 5), make_revision(1, 6),
                {put("c", 1, 6, "new")}),
        whole(2, 4, {put("a", 2, 4)}),
        changes(make_revision(2, 4), make_revision(2, 5),
                {put("b", 2, 5, "again")})};
    const auto order = *rc::gen::container<std::vector<std::size_t>>(
        12, rc::gen::inRange<std::size_t>(0, told.size()));
    state_table table;
    for (const auto each : order)
        table.apply(told[each], start);
    table.apply(told[4], start);
    table.apply(told[5], start);
    RC_ASSERT(present(table) ==
              (std::map<std::string, std::string>{{"a", "v"}, {"b", "again"}}));
    RC_ASSERT(table.revision() == make_revision(2, 5));
}

TEST(RestoredStore, TheMessageSaysThatRowsAreOfARestoredStore)
{
    using namespace io::detail;
    auto sent = changes(5, make_revision(1, 4), {put("a", 1, 4)});
    sent.restored = true;
    const auto arrive = [](nlohmann::json message) {
        return parse_state_difference(
            parse_message(write_message({{"change", std::move(message)}}))
                .at("change"));
    };
    EXPECT_TRUE(arrive(to_message(sent)).restored);
    EXPECT_EQ(arrive(to_message(sent)).revision, make_revision(1, 4));
    EXPECT_TRUE(split(sent, 300).front().restored);
    auto from_earlier_version = to_message(sent);
    from_earlier_version.erase("restored");
    EXPECT_FALSE(arrive(from_earlier_version).restored);
}

struct held_target
{
    restored_rows rows{true};
    restored_rows::rows_by_key known = {{"live", put("live", 0, 30)},
                                        {"left", removed("left", 0, 31)}};
};

// A target that had just listed itself was taken out by a restore.
TEST(RestoredRows, ARowThatTheCopyLacksStaysUntilItCouldBeWrittenAgain)
{
    held_target held;
    EXPECT_TRUE(
        held.rows.hold({removed("live", 1, 20)}, held.known, start).empty());
    EXPECT_TRUE(
        held.rows.take_due(start + restored_rows::rewrite_time - 1ms).empty());
    const auto due = held.rows.take_due(start + restored_rows::rewrite_time);
    ASSERT_EQ(due.size(), 1U);
    EXPECT_TRUE(due.front().removed);
    EXPECT_FALSE(held.rows.next_due().has_value());
}

TEST(RestoredRows, ARowThatIsWrittenAgainIsHeldNoMore)
{
    held_target held;
    held.rows.hold({removed("live", 1, 20)}, held.known, start);
    const std::vector<io::store_row> again = {put("live", 1, 21)};
    held.rows.on_changed(again);
    EXPECT_TRUE(held.rows.take_due(start + 1min).empty());
}

// A target that had left was in use again after a restore.
TEST(RestoredRows, ATargetThatHadLeftIsNotBackBeforeItsEntryWouldExpire)
{
    held_target held;
    EXPECT_TRUE(
        held.rows.hold({put("left", 1, 20)}, held.known, start).empty());
    EXPECT_TRUE(
        held.rows.take_due(start + restored_rows::rewrite_time).empty());
    EXPECT_EQ(held.rows.take_due(start + restored_rows::expiry_time).size(),
              1U);
}

TEST(RestoredRows, NewsInTheCopyTakesEffectAtOnce)
{
    held_target held;
    const auto at_once = held.rows.hold(
        {put("unknown", 1, 3), put("live", 1, 40), put("left", 1, 41)},
        held.known, start);
    EXPECT_EQ(at_once.size(), 3U);
}

// An operator's record without a version came back older.
TEST(RestoredRows, AnOlderRowWithoutAVersionIsHeld)
{
    held_target held;
    EXPECT_EQ(held.rows.hold({put("live", 1, 20)}, held.known, start).size(),
              1U);
    restored_rows records{false};
    EXPECT_TRUE(records.hold({put("live", 1, 20)}, held.known, start).empty());
    EXPECT_EQ(records.next_due(), start + restored_rows::rewrite_time);
}

} // namespace
