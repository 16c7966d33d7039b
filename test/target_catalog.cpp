#include "vanillapost/targets.hpp"

#include <gtest/gtest.h>

using namespace vanillapost;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};

listed_target make_target(const std::string& id, std::int64_t born = 1,
                          std::int64_t sequence = 1)
{
    listed_target made;
    made.id = {id};
    made.service = {"s"};
    made.address = "127.0.0.1:1";
    made.data_centre = {"d"};
    made.born_ms = born;
    made.sequence = sequence;
    return made;
}

TEST(TargetCatalog, ARemovedTargetIsGoneAtOnce)
{
    target_catalog catalog;
    catalog.put(make_target("a"));
    catalog.remove({"a"}, start);
    EXPECT_EQ(catalog.find({"a"}), nullptr);
}

// The list is down, all entries lapse, and the targets list themselves again
// within two seconds of its return.
TEST(TargetCatalog, TargetsStayWhileTheyListThemselvesAgain)
{
    target_catalog catalog;
    catalog.put(make_target("back"));
    catalog.put(make_target("gone"));
    catalog.on_list_back(start);
    catalog.replace({}, start + 100ms);
    EXPECT_NE(catalog.find({"back"}), nullptr);
    catalog.put(make_target("back", 1, 2));
    EXPECT_FALSE(catalog.advance(start + 1s));
    EXPECT_TRUE(catalog.advance(start + 1900ms));
    EXPECT_NE(catalog.find({"back"}), nullptr);
    EXPECT_EQ(catalog.find({"gone"}), nullptr);
}

TEST(TargetCatalog, RemovalsAreAtOnceAgainWhenTheWindowIsOver)
{
    target_catalog catalog;
    catalog.put(make_target("a"));
    catalog.on_list_back(start);
    catalog.remove({"a"}, start + 3s);
    EXPECT_EQ(catalog.find({"a"}), nullptr);
}

// A write of the list that was delayed for seconds arrives after a newer one.
TEST(TargetCatalog, AnOlderReportDoesNotReplaceANewerOne)
{
    target_catalog catalog;
    auto leaving = make_target("a", 5, 9);
    leaving.draining = true;
    EXPECT_TRUE(catalog.put(leaving));
    EXPECT_FALSE(catalog.put(make_target("a", 5, 8)));
    EXPECT_FALSE(catalog.put(make_target("a", 4, 20)));
    EXPECT_TRUE(catalog.find({"a"})->draining);
    EXPECT_TRUE(catalog.put(make_target("a", 6, 1)));
    EXPECT_FALSE(catalog.find({"a"})->draining);
}

TEST(TargetCatalog, LeavingAndEvacuatedTargetsGetNoWork)
{
    target_catalog catalog;
    auto record = make_target("a");
    EXPECT_TRUE(catalog.is_usable(record));
    catalog.set_evacuated({{"d"}});
    EXPECT_FALSE(catalog.is_usable(record));
    catalog.set_evacuated({});
    record.draining = true;
    EXPECT_FALSE(catalog.is_usable(record));
}

} // namespace
