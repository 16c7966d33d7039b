#include "explanation.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <sstream>

using namespace vanillapost::explain;

namespace {

std::string line(const std::string& time, const std::string& instance,
                 const std::string& event, const std::string& more = "")
{
    return "  12.5 " + instance + R"( {"time":")" + time + R"(","instance":")" +
           instance + R"(","message":")" + event + '"' + more + "}\n";
}

std::string ended(const std::string& id, const std::string& result,
                  const std::string& reason, const std::string& attempts)
{
    return R"(,"request_id":")" + id + R"(","result":")" + result +
           R"(","reason":")" + reason + R"(","attempts":")" + attempts +
           R"(","service":"stock","taken_ms":"37","deadline_ms":"1200")";
}

log_contents read(const std::string& text)
{
    std::istringstream input(text);
    log_contents contents;
    read_log(input, contents);
    sort_lines(contents);
    return contents;
}

TEST(Explain, AttemptsAreReadFromTheirText)
{
    const auto attempts = parse_attempts(
        "i-1 300ms not sent: no connection in time; i-2 95ms answered: 200");
    ASSERT_EQ(attempts.size(), 2u);
    EXPECT_EQ(attempts[0].target, "i-1");
    EXPECT_EQ(attempts[0].taken_ms, 300);
    EXPECT_EQ(attempts[0].outcome, "not sent: no connection in time");
    EXPECT_EQ(attempts[1].outcome, "answered: 200");
}

TEST(Explain, ARequestThatLeftItsDataCentreIsToldWithTheCause)
{
    const auto contents = read(
        line("t", "r", "request_ended",
             ended("x", "good", "answered",
                   "i-7 95ms answered: 200, left the data centre: short here "
                   "[expected 120ms]")));
    EXPECT_EQ(explain_request(contents.lines.at(0)),
              "It was answered in time. It left for target i-7: too few "
              "targets were free in the data centre.");
}

// Lines are copied, and a copy of this one overflowed the stack.
TEST(Explain, ALineThatIsNestedDeepIsLeftOut)
{
    constexpr std::size_t depth = 100'000;
    const auto deep = std::string(depth, '[') + std::string(depth, ']');
    auto contents = read(line("t1", "r1", "started", R"(,"x":)" + deep) +
                         line("t2", "r1", "started"));
    EXPECT_EQ(contents.lines.size(), 1u);
    EXPECT_EQ(contents.unreadable, 1u);
    find_request(contents.lines, "x");
}

TEST(Explain, ARequestsPathShowsWhatItsInstanceKnew)
{
    const auto contents =
        read(line("t3", "r1", "request_ended",
                  ended("x", "refused", "all targets are full", "")) +
             line("t1", "r1", "configuration_adopted", R"(,"version":"7")") +
             line("t2", "r2", "store_lost") + "noise\n");
    EXPECT_EQ(contents.unreadable, 1u);
    const auto path = find_request(contents.lines, "x");
    ASSERT_EQ(path.lines.size(), 2u);
    EXPECT_EQ(path.lines[0].field("version"), "7");
    EXPECT_NE(path.cause.find("was not sent"), std::string::npos);
    EXPECT_TRUE(find_request(contents.lines, "y").lines.empty());
}

TEST(Explain, ARequestThatIsHeldBackIsNamedWithTheTargetsThatEnded)
{
    const auto held = [](const std::string& time, const std::string& request,
                         const std::string& target) {
        return line(time, "r2", "request_held_back",
                    R"(,"request":")" + request + R"(","target":")" + target +
                        '"');
    };
    const auto contents =
        read(held("t1", "GET/a.example/bad/1", "i-1") +
             held("t2", "GET/a.example/bad/1", "i-2") +
             held("t2", "GET/a.example/other", "i-3") +
             line("t3", "r1", "request_refused",
                  R"(,"request_id":"x","target":"/bad/1",)"
                  R"("reason":"targets ended under this request")") +
             held("t4", "GET/a.example/bad/1", "i-4"));
    const auto cause = find_request(contents.lines, "x").cause;
    EXPECT_NE(cause.find("It was not sent. What is held back: "
                         "GET/a.example/bad/1; ended: i-1 i-2."),
              std::string::npos)
        << cause;
}

TEST(Explain, FailuresAreGroupedByCause)
{
    std::string text;
    for (const auto* id : {"a", "b", "c"})
        text += line(
            "t1", "r1", "request_ended",
            ended(id, "failed", "no answer in time", "i-1 1200ms abandoned"));
    text += line("t2", "r1", "request_ended",
                 ended("d", "slow", "answered", "i-2 500ms answered: 200"));
    text += line("t3", "r1", "request_ended",
                 ended("e", "good", "answered", "i-2 50ms answered: 200"));
    const auto groups = group_failures(read(text).lines);
    ASSERT_EQ(groups.size(), 2u);
    EXPECT_EQ(groups[0].count, 3u);
    EXPECT_EQ(groups[0].example, "a");
    EXPECT_EQ(groups[1].result, "slow");
}

TEST(Explain, EveryResultHasASentence)
{
    for (const auto* result : {"good", "slow", "refused", "failed", "gone"}) {
        const auto contents = read(
            line("t", "r", "request_ended", ended("x", result, "why", "")));
        EXPECT_FALSE(explain_request(contents.lines.at(0)).empty()) << result;
    }
}

TEST(Explain, VersionsAreNamedDuringARollOut)
{
    const auto contents = read(
        line("t", "r", "request_ended",
             ended("x", "failed", "answered",
                   "i-1 5ms answered: 500 [expected 9ms, not out, version "
                   "v2]; i-2 7ms answered: 500 [expected 9ms, version v1]")) +
        line("t", "r", "request_ended",
             ended("y", "good", "answered", "i-1 5ms answered: 200 [a]")));
    const auto during = explain_request(contents.lines.at(0));
    EXPECT_TRUE(
        during.ends_with(" Versions in a roll-out: i-1 has v2, i-2 has v1."))
        << during;
    EXPECT_EQ(explain_request(contents.lines.at(1)),
              "It was answered in time.");
}

RC_GTEST_PROP(Explain, SurvivesAnyLine, ())
{
    auto text = line("t", "r", "request_ended",
                     ended("x", "failed", "why", "i-1 5ms lost; i-2"));
    text[*rc::gen::inRange<std::size_t>(0, text.size())] =
        *rc::gen::arbitrary<char>();
    const auto contents = read(text);
    for (const auto& each : contents.lines)
        explain_request(each);
    group_failures(contents.lines);
}

} // namespace
