#include "vanillapost/records.hpp"
#include "vanillapost/base.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace vanillapost;

namespace {

std::string target_text(std::string_view name, int slots)
{
    return to_json(target_record{.name = {std::string(name)},
                                 .service = {"s"},
                                 .data_centre = {"a"},
                                 .address = "127.0.0.1:1",
                                 .slots = slots})
        .dump();
}

} // namespace

TEST(records, both_schema_versions_are_read)
{
    const auto first = parse_record(
        R"({"schema":1,"kind":"target","name":"t","service":"s","zone":"a",
            "address":"127.0.0.1:1","limit":3})",
        "test");
    EXPECT_EQ(parse_record(target_text("t", 3), "test"), first);
}

TEST(records, every_bad_field_is_named)
{
    try {
        parse_record(R"({"schema":2,"kind":"target","name":"T!","slots":-1,
                         "service":"s","data_centre":"a","address":"x",
                         "colour":"red"})",
                     "test");
        FAIL();
    } catch (const field_error& failure) {
        ASSERT_EQ(failure.problems().size(), 4u);
        EXPECT_EQ(failure.problems()[0].field, "/name");
        EXPECT_EQ(failure.problems()[1].field, "/address");
        EXPECT_EQ(failure.problems()[2].field, "/slots");
        EXPECT_EQ(failure.problems()[3].field, "/colour");
    }
}

TEST(records, unknown_schema_leaves_last_record_in_force)
{
    record_set records;
    const std::string key = "records/target/t";
    records.apply({key, 5, target_text("t", 4)});
    EXPECT_EQ(records.apply({key, 6, R"({"schema":9})"}),
              apply_result::refused);
    EXPECT_EQ(records.find(target_id{"t"})->slots, 4);
    EXPECT_NE(records.refusal(key), "");
}

TEST(records, deep_json_is_refused)
{
    const std::string deep(100'000, '[');
    EXPECT_THROW(parse_bounded_json(deep, 1'000'000, "parse", "test"), error);
}

RC_GTEST_PROP(records, revision_in_force_only_rises, ())
{
    record_set records;
    revision highest = 0;
    const auto arrivals =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 50));
    for (int at : arrivals) {
        records.apply({"records/target/t", static_cast<revision>(at),
                       target_text("t", at)});
        highest = std::max(highest, static_cast<revision>(at));
        RC_ASSERT(records.find(target_id{"t"})->slots ==
                  static_cast<int>(highest));
    }
}

RC_GTEST_PROP(records, shares_never_exceed_any_limit, ())
{
    record_set records;
    const int service_limit = *rc::gen::inRange(0, 20);
    const int centre_limit = *rc::gen::inRange(0, 20);
    records.apply(
        {"records/service/s", 1,
         to_json(service_record{.name = {"s"}, .limit = service_limit})
             .dump()});
    records.apply(
        {"records/data_centre/a", 2,
         to_json(data_centre_record{.name = {"a"}, .limit = centre_limit})
             .dump()});
    const auto slots =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    int total = 0;
    for (std::size_t i = 0; i < slots.size(); ++i) {
        const auto name = "t" + std::to_string(i);
        records.apply(
            {"records/target/" + name, 3 + i, target_text(name, slots[i])});
        total += slots[i];
    }
    int shared = 0;
    for (const auto& [name, share] : share_limits(records)) {
        RC_ASSERT(share <= records.find(name)->slots);
        shared += share;
    }
    RC_ASSERT(shared == std::min({total, service_limit, centre_limit}));
}
