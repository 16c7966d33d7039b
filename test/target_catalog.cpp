#include "vanillapost/targets.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>

using namespace vanillapost;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};

listed_target make_target(const std::string& id, std::int64_t start_unix_ms = 1,
                          std::int64_t sequence = 1)
{
    listed_target made;
    made.id = {id};
    made.service = {"s"};
    made.address = "127.0.0.1:1";
    made.data_centre = {"d"};
    made.start_unix_ms = start_unix_ms;
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

// In an outage of the list all entries expire; the targets list themselves
// again within two seconds of its return.
TEST(TargetCatalog, TargetsStayWhileTheyListThemselvesAgain)
{
    target_catalog catalog;
    catalog.put(make_target("back"));
    catalog.put(make_target("gone"));
    catalog.on_list_restored(start);
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
    catalog.on_list_restored(start);
    catalog.remove({"a"}, start + 3s);
    EXPECT_EQ(catalog.find({"a"}), nullptr);
}

// A write to the list that was delayed for seconds arrives after a newer one.
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
    EXPECT_TRUE(catalog.is_usable(record, start));
    catalog.set_evacuated({{"d"}});
    EXPECT_FALSE(catalog.is_usable(record, start));
    catalog.set_evacuated({});
    record.draining = true;
    EXPECT_FALSE(catalog.is_usable(record, start));
}

TEST(TargetCatalog, AnAnnouncedDepartureHoldsUntilTheNextStart)
{
    target_catalog catalog;
    const target_id id{"a"};
    const auto usable = [&](time_point now) {
        return catalog.is_usable(*catalog.find(id), now);
    };
    catalog.put(make_target("a", 5, 1));
    EXPECT_TRUE(catalog.on_departure_announced(id, 5));
    EXPECT_FALSE(catalog.on_departure_announced(id, 5));
    EXPECT_FALSE(usable(start));
    // Its row still says that it is ready, expires, and comes back.
    catalog.put(make_target("a", 5, 2));
    EXPECT_FALSE(usable(start + 1h));
    catalog.remove(id, start);
    catalog.put(make_target("a", 5, 3));
    EXPECT_FALSE(usable(start + 1h));
    catalog.put(make_target("a", 6, 1));
    EXPECT_TRUE(usable(start));
}

TEST(TargetCatalog, ARelayedDepartureHoldsOnceAndForABoundedTime)
{
    target_catalog catalog;
    const target_id id{"a"};
    catalog.put(make_target("a", 5, 1));
    const auto& record = *catalog.find(id);
    const auto over = start + departure_tracker::relayed_departure_lifetime;
    EXPECT_TRUE(catalog.on_departure_relayed(id, 5, start));
    EXPECT_FALSE(catalog.is_usable(record, over - 1ms));
    EXPECT_FALSE(catalog.on_departure_relayed(id, 5, over - 1ms));
    EXPECT_TRUE(catalog.is_usable(record, over));
    // A peer cannot keep a target out by repeating the announcement.
    EXPECT_FALSE(catalog.on_departure_relayed(id, 5, over));
    EXPECT_TRUE(catalog.is_usable(record, over));
    catalog.on_departure_announced(id, 5);
    EXPECT_FALSE(catalog.is_usable(record, over));
}

TEST(TargetCatalog, TrackedDeparturesAreBounded)
{
    departure_tracker departures;
    for (std::size_t i = 0; i < departure_tracker::max_targets + 10; ++i)
        departures.on_announced({std::to_string(i)},
                                static_cast<std::int64_t>(i));
    EXPECT_EQ(departures.size(), departure_tracker::max_targets);
    EXPECT_FALSE(departures.is_leaving({"0"}, 0, start));
    const auto last = departure_tracker::max_targets + 9;
    EXPECT_TRUE(departures.is_leaving({std::to_string(last)},
                                      static_cast<std::int64_t>(last), start));
}

/// One message about the state of a target.
struct target_event
{
    enum class kind
    {
        row,
        announced,
        relayed
    };
    kind what;
    std::int64_t start_unix_ms;
    std::int64_t sequence; ///< of a row
    bool draining;         ///< of a row
};

void apply(target_catalog& catalog, const target_event& each)
{
    const target_id id{"a"};
    if (each.what == target_event::kind::announced) {
        catalog.on_departure_announced(id, each.start_unix_ms);
        return;
    }
    if (each.what == target_event::kind::relayed) {
        catalog.on_departure_relayed(id, each.start_unix_ms, start);
        return;
    }
    auto record = make_target("a", each.start_unix_ms, each.sequence);
    record.draining = each.draining;
    catalog.put(record);
}

// Whether the newest listed start is usable, computed from all events
// regardless of their order.
bool is_usable_after(const std::vector<target_event>& all, time_point now)
{
    const target_event* row = nullptr;
    for (const auto& each : all)
        if (each.what == target_event::kind::row &&
            (!row || std::tie(each.start_unix_ms, each.sequence) >
                         std::tie(row->start_unix_ms, row->sequence)))
            row = &each;
    const auto has_event = [&](target_event::kind what) {
        return std::ranges::any_of(all, [&](const target_event& each) {
            return each.what == what &&
                   each.start_unix_ms >= row->start_unix_ms;
        });
    };
    const bool relayed =
        has_event(target_event::kind::relayed) &&
        now < start + departure_tracker::relayed_departure_lifetime;
    return !row->draining && !has_event(target_event::kind::announced) &&
           !relayed;
}

RC_GTEST_PROP(TargetCatalog, DepartureEventsHaveTheSameEffectInAnyOrder, ())
{
    std::vector<target_event> all{{target_event::kind::row, 1, 1, false}};
    const auto more = *rc::gen::inRange(0, 6);
    for (int i = 0; i < more; ++i) {
        const auto what =
            static_cast<target_event::kind>(*rc::gen::inRange(0, 3));
        const auto start_unix_ms = *rc::gen::inRange<std::int64_t>(1, 4);
        // Rows of the same start have different sequence numbers.
        all.push_back(
            {what, start_unix_ms, 2 + i, *rc::gen::arbitrary<bool>()});
    }
    std::vector<std::size_t> order(all.size());
    std::iota(order.begin(), order.end(), 0);
    std::size_t orders = 0;
    constexpr std::size_t most_orders = 200;
    do {
        target_catalog catalog;
        for (const auto index : order)
            apply(catalog, all[index]);
        for (const auto now : {start, start + 4s})
            RC_ASSERT(catalog.is_usable(*catalog.find({"a"}), now) ==
                      is_usable_after(all, now));
    } while (++orders < most_orders &&
             std::next_permutation(order.begin(), order.end()));
}

} // namespace
