#include "targets/target_message.hpp"

#include <gtest/gtest.h>

using namespace vanillapost;
using namespace vanillapost::router;
using namespace std::chrono_literals;

namespace {

header_names make_names()
{
    header_names names;
    names.attempt_id = "Id";
    names.deadline_ms = "Left";
    names.target_instance = "Only";
    names.seal = "Proof";
    names.not_executed = "Not-Run";
    names.organisation = "For";
    return names;
}

listed_target make_target()
{
    listed_target target;
    target.id = {"t1"};
    target.address = "127.0.0.1:1";
    return target;
}

bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

TEST(TargetMessage, CarriesTheRequestAndWhatTheTargetMustKnow)
{
    const io::http_request request{
        "POST", "/a?b=c", {{"Host", "h"}, {"Id", "7"}, {"X", "y"}}, "body"};
    const auto text =
        format_target_message(request, make_target(), make_names(), 250ms, {});
    EXPECT_TRUE(text.starts_with("POST /a?b=c HTTP/1.1\r\nHost: h\r\n"));
    EXPECT_TRUE(text.ends_with("\r\n\r\nbody"));
    for (const auto* line : {"Id: 7\r\n", "X: y\r\n", "Left: 250\r\n",
                             "Only: t1\r\n", "Content-Length: 4\r\n"})
        EXPECT_TRUE(has(text, line)) << line;
}

// A caller's Connection header names headers that are not passed on; it must
// not be able to remove what tells the target whose caller asks.
TEST(TargetMessage, NamesTheOrganisationWhateverTheCallerSays)
{
    const io::http_request request{
        "GET", "/", {{"Host", "h"}, {"Connection", "For, Only"}}, ""};
    const auto text = format_target_message(
        request, make_target(), make_names(), 250ms, organisation_id{"o1"});
    EXPECT_TRUE(has(text, "For: o1\r\n"));
    EXPECT_TRUE(has(text, "Only: t1\r\n"));
}

// Headers that concern the caller's own connection, and headers that only the
// router may set, must not be passed on to the target.
TEST(TargetMessage, LeavesOutWhatConcernsOneConnectionOnly)
{
    const io::http_request request{"GET",
                                   "/",
                                   {{"Connection", "close, X-Own"},
                                    {"X-Own", "1"},
                                    {"Keep-Alive", "timeout=5"},
                                    {"Transfer-Encoding", "chunked"},
                                    {"Expect", "100-continue"},
                                    {"Left", "99999"},
                                    {"only", "t2"}},
                                   ""};
    const auto text =
        format_target_message(request, make_target(), make_names(), 1ms, {});
    for (const auto* part : {"close", "X-Own", "Keep-Alive", "chunked",
                             "100-continue", "99999", "t2", "Content-Length"})
        EXPECT_FALSE(has(text, part)) << part;
}

TEST(TargetMessage, ADeadlineIsNeverSentAsZero)
{
    const auto text =
        format_target_message({}, make_target(), make_names(), -5ms, {});
    EXPECT_TRUE(has(text, "Left: 1\r\n"));
}

template <class Outcome>
bool classified_as(int status, io::header_list headers)
{
    return std::holds_alternative<Outcome>(
        classify_answer({status, std::move(headers), {}}, make_names()));
}

TEST(TargetMessage, OnlyAProvenAnswerCounts)
{
    EXPECT_TRUE(classified_as<attempt_answered>(200, {{"Proof", "x"}}));
    EXPECT_TRUE(classified_as<attempt_answered>(500, {{"Proof", "x"}}));
    EXPECT_TRUE(classified_as<attempt_lost>(200, {}));
    EXPECT_TRUE(classified_as<attempt_lost>(500, {}));
    EXPECT_TRUE(classified_as<attempt_lost>(
        200, {{"Proof", "x"}, {"Content-Encoding", "gzip"}}));
}

TEST(TargetMessage, OnlyTheTargetsHeaderMeansNotRun)
{
    EXPECT_TRUE(classified_as<attempt_refused>(503, {{"Not-Run", "1"}}));
    EXPECT_TRUE(classified_as<attempt_lost>(503, {}));
    EXPECT_TRUE(classified_as<attempt_lost>(429, {}));
    EXPECT_TRUE(classified_as<attempt_misdirected>(421, {}));
    EXPECT_TRUE(classified_as<attempt_answered>(421, {{"Proof", "x"}}));
}

TEST(RelayedRequest, SaysWhoRelaysItAndNamesNoTarget)
{
    const io::http_request request{
        "POST", "/a", {{"Host", "h"}, {"Id", "7"}, {"only", "t2"}}, "body"};
    member self;
    self.name = {"r1"};
    const auto text = format_relayed_request(request, self, make_names(), 250ms,
                                             2, "Bearer k");
    for (const auto* line :
         {"Host: h\r\n", "Id: 7\r\n", "Left: 250\r\n",
          "Relayed-By: r1;attempts=2\r\n", "Authorization: Bearer k\r\n"})
        EXPECT_TRUE(has(text, line)) << line;
    EXPECT_FALSE(has(text, "only: "));
    EXPECT_TRUE(text.ends_with("\r\n\r\nbody"));
}

TEST(RelayedRequest, SaysHowManyTargetsItMayStillRunOn)
{
    EXPECT_EQ(parse_relayed_attempts("r1;attempts=2"), 2);
    EXPECT_EQ(parse_relayed_attempts("r;attempts=7;attempts=1"), 1);
    // The first is that of builds before.
    for (const auto* text :
         {"r1", "", "r1;attempts=", "r1;attempts=0", "r1;attempts=-1",
          "r1;attempts=x", "r1;attempts=99999999999999999999"})
        EXPECT_EQ(parse_relayed_attempts(text), std::nullopt) << text;
}

TEST(RelayedRequest, OnlyARefusalOfThePeerPromisesThatItDidNotRun)
{
    const auto outcome = [](int status, io::header_list headers) {
        return classify_peer_answer({status, std::move(headers), 0},
                                    make_names());
    };
    for (const int status : {408, 421, 429, 503})
        EXPECT_FALSE(may_have_run(outcome(status, {}))) << status;
    for (const int status : {200, 404, 500, 502, 504})
        EXPECT_TRUE(may_have_run(outcome(status, {}))) << status;
    // A target wrote these.
    for (const int status : {200, 429, 500, 503}) {
        const auto sealed = outcome(status, {{"Proof", "x"}});
        EXPECT_TRUE(std::holds_alternative<attempt_answered>(sealed));
    }
    EXPECT_FALSE(may_have_run(outcome(503, {{"Not-Run", "1"}})));
}

} // namespace
