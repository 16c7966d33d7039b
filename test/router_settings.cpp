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

} // namespace
