#include "entry_settings.hpp"

#include "vanillapost/records.hpp"

#include <gtest/gtest.h>

using namespace vanillapost;
using namespace vanillapost::entry;

namespace {

nlohmann::json good()
{
    return {{"name", "e1"},
            {"data_centre", "a"},
            {"http_address", "127.0.0.1:1"},
            {"mesh_address", "127.0.0.1:2"},
            {"platform", "127.0.0.1:3"}};
}

} // namespace

TEST(entry_settings, what_is_printed_can_be_read)
{
    const auto settings = parse_entry_settings(good().dump(), "test");
    const auto again = parse_entry_settings(to_json(settings).dump(), "test");
    EXPECT_EQ(to_json(again), to_json(settings));
}

TEST(entry_settings, every_bad_field_is_named)
{
    auto bad = good();
    bad.erase("name");
    bad["platform"] = "platform.example";
    bad["max_connections"] = 0;
    bad["colour"] = "red";
    try {
        parse_entry_settings(bad.dump(), "test");
        FAIL();
    } catch (const field_error& failure) {
        std::vector<std::string> fields;
        for (const auto& each : failure.problems())
            fields.push_back(each.field);
        EXPECT_EQ(fields,
                  (std::vector<std::string>{"/name", "/platform",
                                            "/max_connections", "/colour"}));
    }
}
