#include "state/outage_watch.hpp"
#include "vanillapost/targets.hpp"

#include <gtest/gtest.h>

using namespace vanillapost;
using namespace vanillapost::router;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};

// Who was turned away alone took that for an outage, and kept removed targets.
TEST(OutageWatch, NewsFromPeersShowsThatTheStoreWorks)
{
    outage_watch watch;
    watch.on_news(start);
    EXPECT_FALSE(watch.may_be_outage(start + 200ms));
    watch.on_news(start + 900ms);
    EXPECT_FALSE(watch.may_be_outage(start + 1800ms));
}

TEST(OutageWatch, WithoutAnyNewsTheStoreMayBeAway)
{
    outage_watch watch;
    EXPECT_TRUE(watch.may_be_outage(start));
    watch.on_news(start);
    EXPECT_TRUE(watch.may_be_outage(start + outage_watch::shortest_outage));
}

listed_target make_target()
{
    listed_target made;
    made.id.value = "a";
    return made;
}

// Each that was told began the whole time anew, and told others.
TEST(OutageWatch, InstancesThatTellEachOtherOfAnOutageDoNotProlongIt)
{
    target_catalog one;
    target_catalog other;
    one.on_list_back(start);
    auto now = start;
    for (int i = 0; i < 40; ++i, now += 100ms) {
        other.on_told_relisting(one.relist_left(now), now);
        one.on_told_relisting(other.relist_left(now), now);
    }
    EXPECT_FALSE(one.is_relisting(now));
    other.put(make_target());
    other.remove({"a"}, now);
    EXPECT_EQ(other.find({"a"}), nullptr);
}

TEST(OutageWatch, WhoIsToldOfAnOutageKeepsRemovedTargetsForAWhile)
{
    target_catalog catalog;
    catalog.put(make_target());
    catalog.on_told_relisting(1s, start);
    catalog.remove({"a"}, start + 500ms);
    EXPECT_NE(catalog.find({"a"}), nullptr);
    catalog.advance(start + 3s);
    EXPECT_EQ(catalog.find({"a"}), nullptr);
}

} // namespace
