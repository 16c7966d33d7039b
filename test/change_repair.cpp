#include "peers/change_messages.hpp"
#include "peers/gap_repair.hpp"
#include "state/revision_spans.hpp"
#include "vanillapost/src/io/detail/cbor.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

using namespace vanillapost;
using namespace vanillapost::router;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};

peer_status make_member(int number, const std::string& data_centre,
                        std::uint64_t targets)
{
    peer_status made;
    made.who.name.value = std::to_string(number);
    made.who.data_centre.value = data_centre;
    made.heartbeat.revisions.targets = targets;
    return made;
}

std::uint64_t targets_of(const peer_status& each)
{
    return each.heartbeat.revisions.targets;
}

/// The set of all revisions in the spans.
std::set<std::uint64_t> revisions(const std::vector<revision_span>& spans)
{
    std::set<std::uint64_t> result;
    for (const auto& each : spans)
        for (auto i = each.after + 1; i <= each.upto; ++i)
            result.insert(i);
    return result;
}

RC_GTEST_PROP(RevisionSpans, GapsAreWhatWasNeverAdded, ())
{
    constexpr std::uint64_t newest = 60;
    revision_spans spans;
    std::set<std::uint64_t> known;
    const auto count = *rc::gen::inRange(0, 30);
    for (int i = 0; i < count; ++i) {
        const auto after = *rc::gen::inRange<std::uint64_t>(0, newest);
        const auto upto = *rc::gen::inRange<std::uint64_t>(after, newest + 1);
        spans.add({after, upto});
        known.merge(revisions({{after, upto}}));
    }
    const auto missing = revisions(spans.gaps(newest));
    for (std::uint64_t i = 1; i <= newest; ++i)
        RC_ASSERT(known.contains(i) != missing.contains(i));
    if (!missing.empty())
        RC_ASSERT(spans.complete() == *missing.begin() - 1);
    const auto within = revisions(spans.known_within({10, 30}));
    for (std::uint64_t i = 11; i <= 30; ++i)
        RC_ASSERT(within.contains(i) == known.contains(i));
    for (const auto each : within)
        RC_ASSERT(each > 10 && each <= 30);
}

TEST(RevisionSpans, OfVeryManyTheNewestAreForgotten)
{
    revision_spans spans;
    for (std::uint64_t i = 1; i < 4 * revision_spans::max_spans; i += 2)
        spans.add({i, i + 1});
    EXPECT_LE(spans.gaps(0).size(), revision_spans::max_spans);
    EXPECT_EQ(spans.gaps(0).front(), (revision_span{0, 1}));
}

// Guards against requests of all members going to the few readers.
TEST(GapRepair, MostQuestionsGoToNearMembers)
{
    std::vector<peer_status> live;
    for (int i = 0; i < 90; ++i)
        live.push_back(make_member(i, i % 3 == 0 ? "own" : "other", i < 3));
    member self;
    self.data_centre.value = "own";
    gap_repair repair{random_engine(1)};
    const std::vector<revision_span> gaps{{0, 1}};
    int local = 0;
    int readers = 0;
    auto now = start;
    EXPECT_FALSE(repair.next(gaps, self, live, targets_of, now));
    for (int i = 0; i < 800; ++i) {
        now = repair.due();
        const auto asked = repair.next(gaps, self, live, targets_of, now);
        ASSERT_TRUE(asked);
        local += asked->data_centre == self.data_centre;
        readers += std::stoi(asked->name.value) < 3;
    }
    EXPECT_GT(local, 400);
    EXPECT_GE(readers, 100);
    EXPECT_LT(readers, 200);
}

TEST(GapRepair, NobodyIsAskedWhileNothingIsMissing)
{
    const std::vector<peer_status> live{make_member(1, "own", 9)};
    gap_repair repair{random_engine(1)};
    EXPECT_FALSE(repair.next({}, {}, live, targets_of, start + 1h));
}

TEST(GapRepair, AnswersAreBounded)
{
    repair_budget budget;
    std::size_t sent = 0;
    for (int i = 0; i < 1000; ++i)
        sent += budget.take(500, start + 1ms * i);
    EXPECT_LE(sent, 1000u);
    EXPECT_GE(sent, 700u);
    EXPECT_EQ(budget.take(0, start + 5s), 0u);
}

nlohmann::json arrived(const std::string& bytes)
{
    return io::detail::parse_message(bytes);
}

TEST(ChangeMessages, AQuestionSurvivesItsEncoding)
{
    const repair_request asked{replicated_table::targets, {{3, 5}, {9, 20}}};
    const auto message = arrived(format_repair_request(asked));
    ASSERT_TRUE(is_repair_request(message));
    const auto read = parse_repair_request(message);
    EXPECT_EQ(read.table, asked.table);
    EXPECT_EQ(read.spans, asked.spans);
}

TEST(ChangeMessages, NewsOfALongChangeSurvivesItsEncoding)
{
    const auto message = arrived(
        format_oversized_change({replicated_table::operators, 12, true}));
    ASSERT_TRUE(is_oversized_change(message));
    const auto read = parse_oversized_change(message);
    EXPECT_EQ(read.table, replicated_table::operators);
    EXPECT_EQ(read.revision, 12u);
    EXPECT_TRUE(read.pass_on);
    EXPECT_THROW(parse_oversized_change({{"long", 1}}), std::exception);
}

TEST(ChangeMessages, QuestionsThatMakeNoSenseAreRefused)
{
    const auto refused = [](const nlohmann::json& spans) {
        try {
            parse_repair_request({{"table", "targets"}, {"missing", spans}});
            return false;
        } catch (const std::exception&) {
            return true;
        }
    };
    EXPECT_TRUE(refused(nlohmann::json::parse("[[5,5]]")));
    EXPECT_TRUE(refused(nlohmann::json::parse("[[5,3]]")));
    EXPECT_TRUE(refused(nlohmann::json::parse("[[-1,3]]")));
    EXPECT_TRUE(refused(nlohmann::json::parse("[[\"1\",3]]")));
    EXPECT_TRUE(refused(nlohmann::json::parse("[[1]]")));
    EXPECT_TRUE(refused(nlohmann::json::parse("[7]")));
    EXPECT_TRUE(refused(nlohmann::json::parse("5")));
    EXPECT_TRUE(refused(nlohmann::json::parse("[[1,3],[2,5]]")));
    EXPECT_TRUE(refused(nlohmann::json::parse("[[1e99,3]]")));
    EXPECT_FALSE(refused(nlohmann::json::parse("[[1,3],[3,5]]")));
    auto many = nlohmann::json::array();
    for (std::size_t i = 0; i <= gap_repair::max_spans; ++i)
        many.push_back({2 * i, 2 * i + 1});
    EXPECT_TRUE(refused(many));
}

} // namespace
