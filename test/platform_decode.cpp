#include "../platform/decode.hpp"
#include "vanillapost/base.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace vanillapost;
using namespace vanillapost::platform;
using namespace std::chrono_literals;

namespace {

const std::string config_text = R"({"version":"r7",
"limits":{"maxHeaderBytes":1000,"maxBodyBytes":2000,
  "headerTimeout":"3000ms","idleTimeout":"15s"},
"listeners":[{"host":"a.example","rules":[
  {"name":"one","kind":"idempotent","targetLatency":"300ms","priority":2,
   "match":{"prefix":"/x/"},
   "action":{"trafficSplit":[{"service":"s","weight":90},
     {"service":"t","weight":10}],"timeout":"1200ms","attempts":2}},
  {"name":"two","kind":"non_idempotent","match":{"prefix":"/y/"},
   "action":{"service":"t"}}]}],
"clusters":[{"name":"s","healthPath":"/h","maxConnections":220,
  "slowStart":"3s","warmupPerS":3.4},{"name":"t"}]})";

const std::string target_text =
    R"({"address":"10.0.0.1:80","born":17,"info":{"service":"s","version":"v1",
"zone":"z","maxConcurrency":2},"status":{"state":"ready","sequence":4,
"warmupLeft":"250ms"}})";

TEST(PlatformDecode, AConfigurationBecomesRoutesAndServices)
{
    const auto config = decode_configuration(config_text);
    EXPECT_EQ(config.version, 7u);
    EXPECT_EQ(config.limits.max_body_bytes, 2000u);
    EXPECT_EQ(config.limits.idle_timeout, 15s);
    ASSERT_EQ(config.routes.size(), 2u);
    const auto& one = config.routes[0];
    EXPECT_EQ(one.host, "a.example");
    EXPECT_EQ(one.parts, (std::vector<route_part>{{{"s"}, 90}, {{"t"}, 10}}));
    EXPECT_EQ(one.timeout, 1200ms);
    EXPECT_EQ(one.latency_objective, 300ms);
    EXPECT_EQ(one.max_attempts, 2);
    EXPECT_EQ(one.priority, 2);
    EXPECT_EQ(config.routes[1].kind, request_kind::non_idempotent);
    EXPECT_EQ(config.services[0].max_connections, 220);
    EXPECT_DOUBLE_EQ(config.services[0].cold_requests_per_second, 3.4);
}

TEST(PlatformDecode, ATargetsRowBecomesAListedTarget)
{
    const auto target = decode_target("i-1", target_text);
    EXPECT_EQ(target.id.value, "i-1");
    EXPECT_EQ(target.service.value, "s");
    EXPECT_EQ(target.data_centre.value, "z");
    EXPECT_EQ(target.slots, 2);
    EXPECT_EQ(target.cold_left, 250ms);
    EXPECT_EQ(target.born_ms, 17);
    EXPECT_FALSE(target.draining);
}

TEST(PlatformDecode, RowsOfOtherWritersNameNoTarget)
{
    const auto whole = nlohmann::json::parse(target_text);
    for (const auto* path :
         {"/address", "/info", "/info/service", "/info/zone",
          "/info/maxConcurrency", "/status/state", "/status/sequence"}) {
        const nlohmann::json::json_pointer at(path);
        auto broken = whole;
        broken[at] = nlohmann::json::array({1});
        EXPECT_THROW(decode_target("i", broken.dump()), error) << path;
    }
    for (const auto* address : {"", "nowhere", "10.0.0.1", "a.example:80"}) {
        auto unusable = whole;
        unusable["address"] = address;
        EXPECT_THROW(decode_target("i", unusable.dump()), error) << address;
    }
    auto unknown = whole;
    unknown["status"]["state"] = "asleep";
    EXPECT_THROW(decode_target("i", unknown.dump()), error);
    EXPECT_THROW(decode_target("i", target_text.substr(0, 60)), error);
    EXPECT_THROW(decode_target("i", "\xff\xfe"), error);
    EXPECT_THROW(decode_target("i", "[]"), error);
}

TEST(PlatformDecode, LoadReports)
{
    EXPECT_EQ(decode_load("3,1,8"), (load_report{3, 1, 8, 1}));
    EXPECT_EQ(decode_load("0,0,2,400"), (load_report{0, 0, 2, 4}));
    for (const auto* bad : {"", "1", "1,2", "a,b,c", "1,2,", "1,2,3,x"})
        EXPECT_FALSE(decode_load(bad)) << bad;
}

TEST(PlatformDecode, Durations)
{
    EXPECT_EQ(decode_duration("1500ms"), 1500ms);
    EXPECT_EQ(decode_duration("2.5s"), 2500ms);
    for (const auto* bad : {"", "5", "s", "ms", "-1s", "1e99s", "nans", "1 s"})
        EXPECT_THROW(decode_duration(bad), error) << bad;
}

TEST(PlatformDecode, Evacuations)
{
    EXPECT_EQ(decode_evacuation("evacuate/z"), data_centre_id{"z"});
    EXPECT_FALSE(decode_evacuation("config"));
}

/// Whatever the bytes, a decoder returns or throws the project's error.
template <class Decode>
void check_mutations(std::string text, Decode decode)
{
    const int changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        text[at] = *rc::gen::arbitrary<char>();
    }
    if (*rc::gen::inRange(0, 4) == 0)
        text.resize(*rc::gen::inRange<std::size_t>(0, text.size()));
    try {
        decode(text);
    } catch (const error&) {
        // Refused, as it should be.
    }
}

RC_GTEST_PROP(PlatformDecode, SpoiltConfigurationsAreRefusedOrRead, ())
{
    check_mutations(config_text,
                    [](const std::string& t) { decode_configuration(t); });
}

RC_GTEST_PROP(PlatformDecode, SpoiltTargetsAreRefusedOrRead, ())
{
    check_mutations(target_text,
                    [](const std::string& t) { decode_target("i", t); });
}

} // namespace
