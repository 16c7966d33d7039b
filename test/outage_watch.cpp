#include "state/outage_detector.hpp"
#include "vanillapost/targets.hpp"

#include <gtest/gtest.h>

using namespace vanillapost;
using namespace vanillapost::router;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};

// Guards against an instance that the store alone refused, took that for an
// outage of the store and so kept removed targets.
TEST(OutageWatch, NewsFromPeersShowsThatTheStoreWorks)
{
    outage_detector detector;
    detector.on_change_received(start);
    EXPECT_FALSE(detector.may_be_outage(start + 200ms));
    detector.on_change_received(start + 900ms);
    EXPECT_FALSE(detector.may_be_outage(start + 1800ms));
}

TEST(OutageWatch, WithoutAnyNewsTheStoreMayBeAway)
{
    outage_detector detector;
    EXPECT_TRUE(detector.may_be_outage(start));
    detector.on_change_received(start);
    EXPECT_TRUE(
        detector.may_be_outage(start + outage_detector::shortest_outage));
}

listed_target make_target()
{
    listed_target made;
    made.id.value = "a";
    return made;
}

// Guards against instances that start the whole period again whenever a peer
// tells them of the outage, and tell others, so that it never ends.
TEST(OutageWatch, InstancesThatTellEachOtherOfAnOutageDoNotProlongIt)
{
    target_catalog one;
    target_catalog other;
    one.on_list_restored(start);
    auto now = start;
    for (int i = 0; i < 40; ++i, now += 100ms) {
        other.on_relisting_relayed(one.relist_left(now), now);
        one.on_relisting_relayed(other.relist_left(now), now);
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
    catalog.on_relisting_relayed(1s, start);
    catalog.remove({"a"}, start + 500ms);
    EXPECT_NE(catalog.find({"a"}), nullptr);
    catalog.advance(start + 3s);
    EXPECT_EQ(catalog.find({"a"}), nullptr);
}

} // namespace
