#include "router_settings.hpp"
#include "vanillapost/src/records/field_error.hpp"

#include <gtest/gtest.h>

using namespace vanillapost;
using namespace vanillapost::router;

namespace {

nlohmann::json sample()
{
    router_settings settings;
    settings.name = "r1";
    settings.data_centre = {"d1"};
    settings.caller_address = {"127.0.0.1", 1};
    settings.ready_address = {"127.0.0.1", 2};
    settings.directory_address = {"127.0.0.1", 3};
    settings.query_address = {"127.0.0.1", 4};
    settings.peer_address = {"127.0.0.1", 5};
    settings.metrics_address = {"127.0.0.1", 6};
    settings.platform_address = {"127.0.0.1", 7};
    settings.seeds = {"127.0.0.1:4"};
    return to_json(settings);
}

TEST(RouterSettings, ReadsWhatItWrites)
{
    const auto text = sample().dump();
    EXPECT_EQ(to_json(parse_router_settings(text, "f")).dump(), text);
}

TEST(RouterSettings, TakesWhatIsMissingFromItsDefaults)
{
    router_settings defaults;
    defaults.memory_limit_mb = 128;
    auto document = sample();
    document["memory_limit_mb"] = 256.5;
    const auto named = parse_router_settings(document.dump(), "f", defaults);
    EXPECT_EQ(named.memory_limit_mb, 256.5);
    document.erase("memory_limit_mb");
    const auto missing = parse_router_settings(document.dump(), "f", defaults);
    EXPECT_EQ(missing.memory_limit_mb, 128);
}

TEST(RouterSettings, LimitsOfARollOutMayBeMissing)
{
    auto document = sample();
    document["expose_share"] = 0.2;
    document["expose_slack"] = 7;
    document["rollback_limit"] = "4000ms";
    const auto named = parse_router_settings(document.dump(), "f");
    EXPECT_EQ(named.expose_share, 0.2);
    EXPECT_EQ(named.expose_slack, 7);
    EXPECT_EQ(named.rollback_limit, std::chrono::seconds(4));
    for (const auto* field : {"expose_share", "expose_slack", "rollback_limit"})
        document.erase(field);
    const auto missing = parse_router_settings(document.dump(), "f");
    EXPECT_EQ(missing.expose_share, 0.1);
    EXPECT_EQ(missing.expose_slack, 50);
    EXPECT_EQ(missing.rollback_limit, std::chrono::seconds(5));
}

TEST(RouterSettings, NamesEveryFieldThatIsWrong)
{
    auto document = sample();
    document["caller_address"] = "nowhere";
    document["grace_period"] = "soon";
    document["repeat_ratio"] = 2;
    document["unheard_of"] = 1;
    try {
        parse_router_settings(document.dump(), "f");
        FAIL() << "wrong settings were accepted";
    } catch (const field_error& failure) {
        EXPECT_EQ(failure.problems().size(), 4u);
    }
}

bool is_refused(const nlohmann::json& document)
{
    try {
        parse_router_settings(document.dump(), "f");
        return false;
    } catch (const error&) {
        return true;
    }
}

// Guards against settings that are accepted and end the router later: a seed
// that is not an address, when the router contacts its seeds, and a repeat
// window of zero, when it counts its first request.
TEST(RouterSettings, NothingIsLeftToFailLater)
{
    const std::vector<std::pair<std::string, std::vector<nlohmann::json>>> bad =
        {{"seeds",
          {{"nowhere"},
           {"10.0.0.1:0"},
           {"0.0.0.0:4"},
           {5},
           "10.0.0.1:4",
           {{"a", "10.0.0.1:4"}}}},
         {"repeat_window", {"0s", "0.001ms", "99ms"}},
         {"expose_share", {-0.1, 1.1, "0.1"}},
         {"expose_slack", {-1, "50"}},
         {"rollback_limit", {"soon", 5}},
         {"memory_limit_mb", {0, -1, 1'000'001, "390"}},
         {"name", {"a\r\nb", std::string(201, 'a')}},
         {"data_centre", {"a\nb"}},
         {"caller_address", {"0.0.0.0:80", "127.0.0.1:0"}},
         {"peer_address", {"0.0.0.0:80"}},
         {"query_address", {"[::]:80"}},
         {"platform_address", {"255.255.255.255:80"}}};
    for (const auto& [field, values] : bad)
        for (const auto& value : values) {
            auto document = sample();
            document[field] = value;
            EXPECT_TRUE(is_refused(document)) << field << ' ' << value;
        }
    auto open = sample();
    open["metrics_address"] = "0.0.0.0:9464";
    EXPECT_FALSE(is_refused(open));
}

} // namespace
