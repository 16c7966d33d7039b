#include "../platform/decode.hpp"
#include "vanillapost/base.hpp"

#include <cstdint>
#include <gtest/gtest.h>
#include <limits>
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

TEST(PlatformDecode, OrganisationsHaveKeysAPriorityAndAQuota)
{
    auto document = nlohmann::json::parse(config_text);
    EXPECT_FALSE(decode_configuration(config_text).organisations);
    document["tenants"] = nlohmann::json::parse(R"([
        {"name":"o1","apiKeys":["k1","k2"],"priority":3,"ratePerS":25.5,
         "burstSize":30},
        {"name":"o2","apiKeys":[]}])");
    document["listeners"][0]["rules"][1]["public"] = true;
    const auto config = decode_configuration(document.dump());
    ASSERT_TRUE(config.organisations);
    ASSERT_EQ(config.organisations->size(), 2u);
    const auto& one = config.organisations->front();
    EXPECT_EQ(one.id.value, "o1");
    EXPECT_EQ(one.keys, (std::vector<std::string>{"k1", "k2"}));
    EXPECT_EQ(one.priority, 3);
    EXPECT_EQ(one.limit, (quota{25.5, 30}));
    EXPECT_EQ(config.organisations->back().limit, quota{});
    EXPECT_FALSE(config.organisations->back().priority);
    EXPECT_FALSE(config.routes[0].is_public);
    EXPECT_TRUE(config.routes[1].is_public);
}

// The error is logged, and a key must not be.
TEST(PlatformDecode, UnusableOrganisationsAreRefusedWithoutTheirKeys)
{
    for (const auto* tenants :
         {R"([{"name":"o","apiKeys":["sec\u0000ret"]}])",
          R"([{"name":"o","apiKeys":["sec ret"]}])",
          R"([{"name":"a","apiKeys":["secret"]},
              {"name":"b","apiKeys":["secret"]}])",
          R"([{"name":"o","apiKeys":[7]}])", R"([{"name":"o"}])",
          R"([{"name":"o p","apiKeys":[]}])", R"([{"apiKeys":[]}])",
          R"([{"name":"o","apiKeys":[],"ratePerS":-1}])", R"({})", R"([3])"}) {
        auto document = nlohmann::json::parse(config_text);
        document["tenants"] = nlohmann::json::parse(tenants);
        try {
            decode_configuration(document.dump());
            ADD_FAILURE() << tenants;
        } catch (const error& failure) {
            EXPECT_EQ(std::string(failure.what()).find("sec"),
                      std::string::npos)
                << failure.what();
        }
    }
}

TEST(PlatformDecode, ATargetsRowBecomesAListedTarget)
{
    const auto target = decode_target("i-1", target_text);
    EXPECT_EQ(target.id.value, "i-1");
    EXPECT_EQ(target.service.value, "s");
    EXPECT_EQ(target.data_centre.value, "z");
    EXPECT_EQ(target.slots, 2);
    EXPECT_EQ(target.cold_left, 250ms);
    EXPECT_EQ(target.start_unix_ms, 17);
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
    for (const auto* address :
         {"", "nowhere", "10.0.0.1", "a.example:80", "10.0.0.1:0",
          "10.0.0.1:-1", "10.0.0.1:65536", "10.0.0.1:99999999999999999999"}) {
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

nlohmann::json changed(const std::string& text, const std::string& path,
                       const nlohmann::json& value)
{
    auto document = nlohmann::json::parse(text);
    document[nlohmann::json::json_pointer(path)] = value;
    return document;
}

// They were cut off to any number, or taken as 1 or 0.
TEST(PlatformDecode, ATargetsNumbersMustMakeSense)
{
    constexpr auto largest = std::numeric_limits<std::uint64_t>::max();
    const std::vector<std::pair<std::string, std::vector<nlohmann::json>>> bad =
        {{"/info/maxConcurrency",
          {0, -1, 1.5, 2.0, 1e300, true, std::int64_t{1} << 40, largest,
           100'001, nullptr, "2"}},
         {"/status/sequence", {-1, 1.5, 1e300, true, largest, nullptr, "4"}},
         {"/born",
          {-1, 1.5, 1e300, true, largest, std::int64_t{1} << 62, nullptr,
           "17"}}};
    for (const auto& [path, values] : bad)
        for (const auto& value : values)
            EXPECT_THROW(
                decode_target("i", changed(target_text, path, value).dump()),
                error)
                << path << ' ' << value;
}

TEST(PlatformDecode, ATargetsTextsMustBeUsable)
{
    const std::vector<std::pair<std::string, std::vector<nlohmann::json>>> bad =
        {{"/address",
          {"10.0.0.1:0", "0.0.0.0:80", "255.255.255.255:80", "224.0.0.1:80",
           "[::]:80", "10.0.0.1:80\r\n"}},
         {"/info/service", {"", "a\r\nb", std::string(201, 's')}},
         {"/info/zone", {"", "a\nb", std::string(201, 'z')}},
         {"/status/warmupLeft", {"", "-1s", "1e9s", "nans", 250}},
         {"/status/state", {"", "READY", "ready\n"}}};
    for (const auto& [path, values] : bad)
        for (const auto& value : values)
            EXPECT_THROW(
                decode_target("i", changed(target_text, path, value).dump()),
                error)
                << path << ' ' << value;
}

// The id went into a header of each request to the target.
TEST(PlatformDecode, AnIdThatBreaksAHeaderNamesNoTarget)
{
    for (const auto* id : {"", "i\r\nHost: x", "i 1", "i\t", "\xff"})
        EXPECT_THROW(decode_target(id, target_text), error) << id;
    EXPECT_THROW(decode_target(std::string(201, 'i'), target_text), error);
}

TEST(PlatformDecode, WhatLegitimateWritersMaySendIsRead)
{
    auto old = nlohmann::json::parse(target_text);
    old.erase("born");
    old["status"].erase("warmupLeft");
    old["future"] = {{"a", {1, 2}}};
    EXPECT_EQ(decode_target("i", old.dump()).start_unix_ms, 0);
    const auto born = changed(target_text, "/born", 1'796'368'000'123);
    EXPECT_EQ(decode_target("i", born.dump()).start_unix_ms, 1'796'368'000'123);
    // The last of two fields of a name counts, as in most readers.
    auto twice = target_text;
    twice.insert(1, R"("born":99,)");
    EXPECT_EQ(decode_target("i", twice).start_unix_ms, 17);
}

TEST(PlatformDecode, RowsAreBoundedInDepthAndBytes)
{
    constexpr std::size_t depth = 200'000;
    const auto deep =
        R"({"info":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
    EXPECT_THROW(decode_target("i", deep), error);
    EXPECT_THROW(decode_configuration(deep), error);
    const auto large = changed(target_text, "/x", std::string(70'000, 'x'));
    EXPECT_THROW(decode_target("i", large.dump()), error);
    const auto huge =
        changed(config_text, "/x", std::string(std::size_t{5} << 20, 'x'));
    EXPECT_THROW(decode_configuration(huge.dump()), error);
}

// Each was cut off, wrapped around or taken as none; a version beyond all
// others stayed in force for good.
TEST(PlatformDecode, AConfigurationsValuesMustMakeSense)
{
    const std::string rule = "/listeners/0/rules/0";
    const std::vector<std::pair<std::string, std::vector<nlohmann::json>>> bad =
        {{"/version",
          {"r", "12", "r-1", "r1.5", "r18446744073709551615", 7, nullptr}},
         {"/limits/maxHeaderBytes", {0, -1, 1e300, true, 1.5, "1"}},
         {"/limits/maxBodyBytes", {-1, 1e300, true, 1.5, nullptr}},
         {"/limits/idleTimeout", {"-1s", "soon", 15, nullptr}},
         {"/listeners", {nullptr, "x", nlohmann::json::object()}},
         {"/clusters", {nullptr, "x", 1}},
         {"/listeners/0/host", {"", "a\r\nb", 1}},
         {rule + "/name", {"", "a\nb", 1}},
         {rule + "/match/prefix", {"/a b/", "/a\r\n/", "x/", ""}},
         {rule + "/priority", {-1, 1e300, 1.5, true, "0"}},
         {rule + "/action/attempts",
          {-1, std::int64_t{1} << 40, 1e300, 1.5, true}},
         {rule + "/action/timeout", {"1e300s", "-1s", 5}},
         {rule + "/action/trafficSplit",
          {nullptr, "s", nlohmann::json::object(), nlohmann::json::array()}},
         {rule + "/action/trafficSplit/0/weight",
          {-1, 1e300, true, nullptr, "90"}},
         {rule + "/action/trafficSplit/0/service", {"", "s\r\n", 1}},
         {"/clusters/0/healthPath",
          {"", "h", "/h HTTP/1.1\r\nX: y\r\n", "/a b", 1}},
         {"/clusters/0/maxConnections",
          {-1, 1e300, 1.5, std::int64_t{1} << 40}},
         {"/clusters/0/warmupPerS", {-1, 1e300, true, nullptr}}};
    for (const auto& [path, values] : bad)
        for (const auto& value : values)
            EXPECT_THROW(
                decode_configuration(changed(config_text, path, value).dump()),
                error)
                << path << ' ' << value;
}

TEST(PlatformDecode, LoadReports)
{
    EXPECT_EQ(decode_load("3,1,8"), (load_report{3, 1, 8, 1}));
    EXPECT_EQ(decode_load("0,0,2,400"), (load_report{0, 0, 2, 4}));
    // A target that says it has less than nothing to do would get everything.
    for (const auto* bad :
         {"", "1", "1,2", "a,b,c", "1,2,", "1,2,3,x", "-5,0,8", "0,-1,8",
          "0,0,-8", "2147483647,2147483647,1", "0,0,8,-1", "1e1,0,8"})
        EXPECT_FALSE(decode_load(bad)) << bad;
}

TEST(PlatformDecode, Durations)
{
    EXPECT_EQ(decode_duration("1500ms"), 1500ms);
    EXPECT_EQ(decode_duration("2.5s"), 2500ms);
    for (const auto* bad : {"", "5", "s", "ms", "-1s", "1e99s", "nans", "1 s"})
        EXPECT_THROW(decode_duration(bad), error) << bad;
}

// The largest wrapped around to a time before now.
TEST(PlatformDecode, Milliseconds)
{
    EXPECT_EQ(decode_milliseconds("1500"), 1500ms);
    for (const auto* bad : {"", "-1", "1.5", "9223372036854775807", "1s"})
        EXPECT_FALSE(decode_milliseconds(bad)) << bad;
}

TEST(PlatformDecode, Evacuations)
{
    EXPECT_EQ(decode_evacuation("evacuate/z"), data_centre_id{"z"});
    for (const auto* none : {"config", "evacuate/", "evacuate/a\r\nb"})
        EXPECT_FALSE(decode_evacuation(none)) << none;
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
