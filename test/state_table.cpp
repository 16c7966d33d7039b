#include "state/state_table.hpp"

#include "vanillapost/src/io/detail/cbor.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace vanillapost;
using namespace vanillapost::router;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};

io::store_row put(const std::string& key, std::uint64_t revision)
{
    return {key, "v" + std::to_string(revision), revision, false};
}

io::store_row removed(const std::string& key, std::uint64_t revision)
{
    return {key, "", revision, true};
}

std::map<std::string, std::string> present(const state_table& table)
{
    std::map<std::string, std::string> result;
    for (const auto& [key, row] : table.rows())
        if (!row.removed)
            result.emplace(key, row.value);
    return result;
}

state_difference relayed(const state_difference& difference)
{
    using namespace io::detail;
    const nlohmann::json message = {{"change", to_message(difference)}};
    return parse_state_difference(
        parse_message(write_message(message)).at("change"));
}

// Applying a part leaves a replica that is exact at the part's revision.
RC_GTEST_PROP(StateMessage, PartsComeToTheSameAsTheWhole, ())
{
    state_difference whole{5, 5, false, false, {}};
    const auto count = *rc::gen::inRange(1, 40);
    for (int i = 0; i < count; ++i) {
        whole.revision += *rc::gen::inRange<std::uint64_t>(0, 3);
        auto row = put("k" + std::to_string(*rc::gen::inRange(0, 9)),
                       std::max<std::uint64_t>(whole.revision, 6));
        row.removed = *rc::gen::arbitrary<bool>();
        whole.rows.push_back(row);
    }
    whole.revision = std::max<std::uint64_t>(whole.revision, 6);
    const auto parts = split(whole, 300);
    state_table at_once;
    at_once.apply({0, 5, true, false, {}}, start);
    auto in_parts = at_once;
    at_once.apply(whole, start);
    // Rows of one revision that do not fit into a message are left out.
    const bool complete = covers(parts, whole);
    std::uint64_t before = 5;
    for (const auto& part : parts) {
        RC_ASSERT(part.after == before || (!complete && part.after > before));
        RC_ASSERT(part.rows.empty() || part.rows.front().revision > before);
        RC_ASSERT(!complete || in_parts.follows(part));
        in_parts.apply(part, start);
        before = part.revision;
    }
    const bool caught_up = in_parts.revision() == whole.revision;
    RC_ASSERT(complete == caught_up);
    // What was left out shows as a gap until it arrives.
    if (!complete) {
        RC_ASSERT(!in_parts.gaps(whole.revision).empty());
        in_parts.apply(whole, start);
    }
    RC_ASSERT(present(in_parts) == present(at_once));
    RC_ASSERT(in_parts.revision() == whole.revision);
}

// Guards against a configuration that arrives late: it was too long for a
// message, and was read with a whole table after the store lost its history.
TEST(StateMessage, PartsTellWhetherALongRowWasLeftOut)
{
    const io::store_row long_row{"k", std::string(400, 'x'), 7, false};
    for (const std::uint64_t after : {5, 7}) {
        const state_difference difference{
            after, 7, false, false, {put("a", 6), long_row}};
        const auto parts = split(difference, 300);
        EXPECT_EQ(parts.size(), 1u);
        EXPECT_FALSE(covers(parts, difference));
        const state_difference short_difference{
            after, 7, false, false, {put("a", 6)}};
        EXPECT_TRUE(covers(split(short_difference, 300), short_difference));
    }
}

TEST(StateMessage, AWholeTableAndALongRowAreNotCut)
{
    EXPECT_TRUE(split({0, 7, true, false, {put("k", 7)}}, 300).empty());
    const io::store_row long_row{"k", std::string(400, 'x'), 7, false};
    EXPECT_TRUE(split({5, 7, false, false, {long_row}}, 300).empty());
}

// Guards against a row that is not valid UTF-8 and cannot be encoded: on
// 2026-12-04 it ended the routers that were asked for their state.
TEST(StateMessage, ARowThatIsNoUtf8CouldNotBeTold)
{
    const io::store_row row{"\xc1\xbf", "\xc1\xbf\x80", 7, false};
    const auto arrived = relayed({5, 7, false, false, {row}});
    ASSERT_EQ(arrived.rows.size(), 1u);
    EXPECT_EQ(arrived.rows[0].key, row.key);
    EXPECT_EQ(arrived.rows[0].value, row.value);
}

TEST(StateMessage, AnAnswerMayBeLongerThanADatagram)
{
    constexpr std::size_t answer_bytes = 1024 * 1024;
    const io::store_row row{"k", std::string(64 * 1024, '\x5f'), 7, false};
    const auto bytes =
        io::detail::write_message(to_message({5, 7, false, false, {row}}));
    EXPECT_THROW(io::detail::parse_message(bytes), error);
    const auto arrived =
        parse_state_difference(io::detail::parse_message(bytes, answer_bytes));
    EXPECT_EQ(arrived.rows[0].value, row.value);
}

RC_GTEST_PROP(StateMessage, WhatOneInstanceTellsAnotherHoldsExactly, ())
{
    state_table sender;
    const auto count = *rc::gen::inRange<std::uint64_t>(0, 8);
    for (std::uint64_t i = 1; i <= count; ++i) {
        const io::store_row row{*rc::gen::arbitrary<std::string>(),
                                *rc::gen::arbitrary<std::string>(), i,
                                *rc::gen::arbitrary<bool>()};
        sender.apply({i - 1, i, false, false, {row}}, start);
    }
    state_table receiver;
    receiver.apply(relayed(sender.since(0)), start);
    RC_ASSERT(present(receiver) == present(sender));
    RC_ASSERT(receiver.revision() == sender.revision());
}

TEST(StateTable, AWholeReadingRemovesWhatItDoesNotName)
{
    state_table table;
    table.apply({0, 5, true, false, {put("a", 3), put("b", 5)}}, start);
    const auto changed = table.apply({0, 9, true, false, {put("b", 5)}}, start);
    ASSERT_EQ(changed.size(), 1u);
    EXPECT_TRUE(changed[0].removed);
    EXPECT_EQ(changed[0].key, "a");
    EXPECT_EQ(present(table).size(), 1u);
}

TEST(StateTable, AWholeReadingThatIsOldRemovesNothingNewer)
{
    state_table table;
    table.apply({0, 9, true, false, {put("a", 9)}}, start);
    EXPECT_TRUE(table.apply({0, 5, true, false, {}}, start).empty());
    EXPECT_EQ(present(table).size(), 1u);
}

// Guards against a removal that is never relayed, since the instance read the
// whole table after it. Found by the model in spec/.
TEST(StateTable, WhoReadTheWholeTableTellsTheWholeTable)
{
    state_table peer;
    peer.apply({0, 1, true, false, {put("a", 1)}}, start);
    state_table fresh;
    fresh.apply({0, 2, true, false, {}}, start);
    peer.apply(fresh.since(peer.revision()), start);
    EXPECT_TRUE(present(peer).empty());
}

// Guards against two whole tables that arrive in the wrong order. Found by the
// model in spec/.
TEST(StateTable, AnOlderWholeReadingBringsNoRowBack)
{
    state_table table;
    table.apply({0, 2, true, false, {}}, start);
    EXPECT_TRUE(table.apply({0, 1, true, false, {put("a", 1)}}, start).empty());
    EXPECT_TRUE(present(table).empty());
}

// A row came back that had been removed, added and removed again: a whole table
// does not tell its last removal, and the first one was known.
TEST(StateTable, ARowRemovedTwiceDoesNotComeBackBetween)
{
    state_table table;
    table.apply({0, 1, true, false, {put("a", 1)}}, start);
    table.apply({1, 2, false, false, {removed("a", 2)}}, start);
    table.apply({0, 5, true, false, {}}, start);
    table.apply({3, 3, false, false, {put("a", 3)}}, start);
    EXPECT_EQ(present(table).size(), 0U);
}

TEST(StateTable, RowsNeverGoBack)
{
    state_table table;
    table.apply({0, 7, true, false, {put("a", 7)}}, start);
    EXPECT_TRUE(
        table.apply({0, 3, false, false, {put("a", 3)}}, start).empty());
    EXPECT_TRUE(
        table.apply({0, 3, false, false, {removed("a", 3)}}, start).empty());
    EXPECT_EQ(present(table).at("a"), "v7");
    EXPECT_EQ(table.revision(), 7u);
}

TEST(StateTable, AGapIsSeen)
{
    state_table table;
    table.apply({0, 5, true, false, {put("a", 5)}}, start);
    EXPECT_TRUE(table.follows({5, 6, false, false, {}}));
    EXPECT_FALSE(table.follows({6, 7, false, false, {}}));
    EXPECT_TRUE(table.follows({0, 7, true, false, {}}));
}

TEST(StateTable, WhoWasAwayForLongGetsTheWholeTable)
{
    state_table table;
    table.apply({0, 5, true, false, {put("a", 4), put("b", 5)}}, start);
    table.apply({5, 6, false, false, {removed("a", 6)}}, start);
    EXPECT_FALSE(table.since(5).whole);
    table.apply({6, 7, false, false, {put("c", 7)}}, start + 10min);
    EXPECT_TRUE(table.since(5).whole);
    EXPECT_FALSE(table.since(6).whole);
}

// Guards against one lost datagram that holds back all later changes for
// seconds.
TEST(StateTable, ARowTakesEffectAlthoughChangesBeforeItAreMissing)
{
    state_table table;
    table.apply({0, 5, true, false, {put("a", 4), put("b", 5)}}, start);
    const auto changed =
        table.apply({6, 8, false, false, {removed("a", 8)}}, start);
    ASSERT_EQ(changed.size(), 1u);
    EXPECT_EQ(present(table).size(), 1u);
    EXPECT_EQ(table.revision(), 5u);
    EXPECT_EQ(table.gaps(8), (std::vector<revision_span>{{5, 6}}));
    table.apply({5, 6, false, false, {put("a", 6)}}, start);
    EXPECT_EQ(table.revision(), 8u);
    EXPECT_EQ(present(table).size(), 1u);
}

TEST(StateTable, ASingleRowTakesEffectWithoutAdvancingTheRevision)
{
    state_table table;
    table.apply({0, 5, true, false, {put("a", 5)}}, start);
    table.apply({9, 9, false, false, {removed("a", 9)}}, start);
    EXPECT_TRUE(present(table).empty());
    EXPECT_EQ(table.revision(), 5u);
}

// A whole table may hold rows that are newer than the revision up to which its
// sender lacks nothing.
TEST(StateTable, AWholeTableWithEarlyRowsRemovesNoKeyOfThem)
{
    state_table sender;
    sender.apply({0, 5, true, false, {put("a", 5)}}, start);
    sender.apply({7, 9, false, false, {put("a", 9)}}, start);
    state_table receiver;
    receiver.apply({0, 5, true, false, {put("a", 5)}}, start);
    receiver.apply(relayed(sender.since(0)), start);
    EXPECT_EQ(present(receiver).at("a"), "v9");
    EXPECT_EQ(receiver.revision(), 5u);
}

TEST(StateTable, ARemovalBeyondAGapIsNotForgotten)
{
    state_table table;
    table.apply({0, 5, true, false, {put("a", 5)}}, start);
    table.apply({7, 9, false, false, {removed("a", 9)}}, start);
    table.apply({9, 10, false, false, {put("b", 10)}}, start + 10min);
    table.apply({5, 7, false, false, {put("a", 6)}}, start + 11min);
    EXPECT_FALSE(present(table).contains("a"));
}

// Guards against a row that fills a gap late and is taken for one that has been
// removed since.
TEST(StateTable, WhatIsForgottenBeyondAGapDoesNotHideARowInIt)
{
    state_table table;
    table.apply({0, 5, true, false, {put("a", 5)}}, start);
    table.apply({7, 9, false, false, {removed("b", 9)}}, start);
    table.apply({9, 10, false, false, {put("a", 10)}}, start + 10min);
    table.apply({5, 7, false, false, {put("c", 6)}}, start + 11min);
    EXPECT_EQ(table.revision(), 10u);
    EXPECT_TRUE(present(table).contains("c"));
}

/// Replicas lose arbitrary messages and request what they lack from each other.
RC_GTEST_PROP(StateTable, CopiesThatRepairEachOtherConverge, ())
{
    state_table source;
    std::vector<state_table> copies(3);
    const int changes = *rc::gen::inRange(1, 40);
    for (int i = 1; i <= changes; ++i) {
        const auto revision = static_cast<std::uint64_t>(i * 2);
        const auto key = std::string(1, *rc::gen::inRange('a', 'e'));
        const bool is_removal = *rc::gen::arbitrary<bool>();
        const state_difference change{
            source.revision(),
            revision,
            false,
            false,
            {is_removal ? removed(key, revision) : put(key, revision)}};
        source.apply(change, start);
        for (auto& each : copies)
            if (*rc::gen::inRange(0, 3) != 0)
                each.apply(relayed(change), start);
    }
    for (int round = 0; round < 2; ++round)
        for (auto& each : copies)
            for (const auto* peer :
                 {&copies[0], &copies[1], &copies[2], &source})
                for (const auto& part :
                     peer->changes_within(each.gaps(source.revision())))
                    each.apply(relayed(part), start);
    for (const auto& each : copies) {
        RC_ASSERT(each.revision() == source.revision());
        RC_ASSERT(present(each) == present(source));
    }
}

/// Changes arrive late, more than once and in any order, and what is missing is
/// requested. In the end the replicas are the same.
RC_GTEST_PROP(StateTable, CopiesConverge, ())
{
    state_table source;
    std::vector<state_difference> relayed_changes;
    const int changes = *rc::gen::inRange(1, 30);
    for (int i = 1; i <= changes; ++i) {
        const auto revision = static_cast<std::uint64_t>(i * 2);
        const auto key = std::string(1, *rc::gen::inRange('a', 'e'));
        const bool is_removal = *rc::gen::arbitrary<bool>();
        const auto before = source.revision();
        auto rows = source.apply(
            {before,
             revision,
             false,
             false,
             {is_removal ? removed(key, revision) : put(key, revision)}},
            start);
        relayed_changes.push_back(
            {before, revision, false, false, std::move(rows)});
    }
    state_table copy;
    const auto order = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(0, relayed_changes.size()));
    for (const auto at : order)
        if (copy.follows(relayed_changes[at]))
            copy.apply(relayed_changes[at], start);
    const auto missing = relayed(source.since(copy.revision()));
    RC_ASSERT(copy.follows(missing));
    copy.apply(missing, start);
    RC_ASSERT(present(copy) == present(source));
    RC_ASSERT(copy.revision() == source.revision());
}

RC_GTEST_PROP(StateTable, MalformedDifferencesAreRejectedOrParsed, ())
{
    state_table table;
    table.apply({0, 5, true, false, {put("a", 4), put("b", 5)}}, start);
    auto bytes = io::detail::write_message(to_message(table.since(0)));
    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
        *rc::gen::arbitrary<char>();
    try {
        parse_state_difference(io::detail::parse_message(bytes));
    } catch (const error&) {
        // Malformed input is rejected, as it should be.
    }
}

} // namespace
