#include "vanillapost/routing.hpp"
#include "events.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <vector>

using namespace vanillapost;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{10s};
const service_id lookup{"lookup"};

std::vector<target_candidate> targets(int count)
{
    std::vector<target_candidate> result;
    for (int i = 0; i < count; ++i)
        result.push_back({.target = {"t" + std::to_string(i)}, .limit = 4});
    return result;
}

/// Serves requests one after another; the last target answers in its own way.
struct odd_target_run
{
    duration odd_latency;
    answer_quality odd_quality;
    int odd_picks = 0;

    void serve(int requests, duration gap)
    {
        target_picker picker;
        random_engine random(7);
        const auto candidates = targets(5);
        time_point now = start;
        for (int i = 0; i < requests; ++i) {
            now += gap;
            const auto target = *picker.pick(candidates, now, random);
            picker.on_dispatch(target);
            const bool odd = target == candidates.back().target;
            odd_picks += odd;
            picker.on_answer(target, now, odd ? odd_latency : duration(10ms),
                             odd ? odd_quality : answer_quality::good);
        }
    }
};

std::map<service_id, int> free_slots(int count)
{
    return {{lookup, count}};
}

} // namespace

RC_GTEST_PROP(routing, picks_only_targets_with_a_free_slot, ())
{
    target_picker picker;
    random_engine random(*rc::gen::arbitrary<std::uint32_t>());
    const auto events = test::draw_events(200);
    auto candidates = targets(4);
    time_point now = start;
    for (std::uint32_t event : events) {
        now += duration(1ms) * ((event >> 8) & 255);
        auto& candidate = candidates[event & 3];
        candidate.in_flight = (event >> 16) & 7;
        candidate.limit = (event >> 20) & 7;
        picker.on_answer(candidate.target, now, 1ms * ((event >> 24) + 1),
                         static_cast<answer_quality>((event >> 2) % 3));
        const auto picked = event & 64
                                ? picker.pick(candidates, now, random)
                                : picker.pick_slow(candidates, 1h, now, random);
        if (!picked)
            continue;
        const auto found =
            std::ranges::find(candidates, *picked, &target_candidate::target);
        RC_ASSERT(found->in_flight < found->limit);
    }
}

TEST(routing, slow_target_is_avoided_within_few_answers)
{
    odd_target_run run{200ms, answer_quality::good};
    run.serve(10000, 1ms);
    EXPECT_LE(run.odd_picks, 10);
    EXPECT_GE(run.odd_picks, 1);
}

TEST(routing, target_that_fails_fast_attracts_no_work)
{
    odd_target_run run{10us, answer_quality::failed};
    run.serve(10000, 1ms);
    EXPECT_LE(run.odd_picks, 10);
}

TEST(routing, recovered_target_comes_back_slowly)
{
    target_picker picker;
    random_engine random(1);
    const auto candidates = targets(2);
    const target_id bad = candidates[1].target;
    picker.on_answer(candidates[0].target, start, 10ms, answer_quality::good);
    picker.on_answer(bad, start, 1ms, answer_quality::failed);
    picker.on_answer(bad, start, 1ms, answer_quality::failed);
    EXPECT_TRUE(picker.avoided(bad, start + 199ms));
    EXPECT_EQ(picker.next_change(start), start + 200ms);
    EXPECT_FALSE(picker.next_change(start + 200ms));
    const time_point later = start + 200ms;
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(picker.pick(candidates, later, random), bad);
        picker.on_dispatch(bad);
        // One request at a time while it is tried.
        EXPECT_NE(picker.pick(candidates, later, random), bad);
        picker.on_answer(bad, later, 10ms, answer_quality::good);
    }
    std::set<target_id> picked;
    for (int i = 0; i < 50; ++i)
        picked.insert(*picker.pick(candidates, later, random));
    EXPECT_EQ(picked.size(), 2u);
}

TEST(routing, nothing_is_avoided_when_most_targets_are_bad)
{
    target_picker picker;
    random_engine random(1);
    const auto candidates = targets(4);
    for (const auto& candidate : candidates) {
        for (int i = 0; i < 3; ++i)
            picker.on_answer(candidate.target, start, 1ms,
                             answer_quality::failed);
    }
    EXPECT_TRUE(picker.pick(candidates, start, random));
}

TEST(routing, only_target_is_judged_against_the_reference)
{
    target_picker picker;
    random_engine random(1);
    const auto candidates = targets(1);
    picker.set_reference(10ms);
    for (int i = 0; i < 3; ++i)
        picker.on_answer(candidates[0].target, start, 100ms,
                         answer_quality::good);
    EXPECT_FALSE(picker.pick(candidates, start, random));
    EXPECT_FALSE(picker.pick_slow(candidates, 99ms, start, random));
    EXPECT_TRUE(picker.pick_slow(candidates, 101ms, start, random));
}

TEST(routing, overdue_request_tells_of_a_slowdown)
{
    target_picker picker;
    random_engine random(1);
    auto candidates = targets(2);
    for (int i = 0; i < 3; ++i) {
        for (const auto& candidate : candidates)
            picker.on_answer(candidate.target, start, 10ms,
                             answer_quality::good);
    }
    candidates[0].in_flight = 1;
    candidates[1].in_flight = 2;
    candidates[0].oldest_age = 100ms;
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(picker.pick(candidates, start, random), candidates[1].target);
}

RC_GTEST_PROP(routing, forwards_since_a_report_never_exceed_its_free_slots, ())
{
    peer_picker peers({.own_data_centre = {"a"}});
    random_engine random(*rc::gen::arbitrary<std::uint32_t>());
    const auto free =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
    int total = 0;
    for (std::size_t i = 0; i < free.size(); ++i) {
        total += free[i];
        peers.on_status({"e" + std::to_string(i)}, {"a"}, false,
                        free_slots(free[i]), start);
    }
    int forwarded = 0;
    while (auto peer = peers.pick(lookup, {}, start, random)) {
        peers.on_forward(*peer, lookup, start);
        RC_ASSERT(++forwarded <= total);
    }
    RC_ASSERT(forwarded == total);
}

TEST(routing, full_leaving_failed_and_tried_peers_are_passed_over)
{
    peer_picker peers({.own_data_centre = {"a"}});
    random_engine random(1);
    const entry_id one{"one"};
    const auto picks = [&](time_point now) {
        return peers.pick(lookup, {}, now, random).has_value();
    };
    peers.on_status(one, {"a"}, false, free_slots(2), start);
    EXPECT_TRUE(picks(start));
    EXPECT_FALSE(peers.pick(lookup, std::span(&one, 1), start, random));
    peers.on_result(one, lookup, forward_result::full, start);
    EXPECT_FALSE(picks(start + 19ms));
    EXPECT_TRUE(picks(start + 20ms));
    peers.on_result(one, lookup, forward_result::failed, start);
    EXPECT_FALSE(picks(start + 499ms));
    // An old report is worth nothing any more.
    EXPECT_FALSE(picks(start + 10s));
    peers.on_status(one, {"a"}, true, free_slots(2), start);
    EXPECT_FALSE(picks(start));
}

TEST(routing, callers_are_sent_to_holders_near_them_and_spread)
{
    const auto entry = [](std::string name, std::string centre, int slots) {
        return advised_entry{.name = {name},
                             .data_centre = {centre},
                             .address = name,
                             .held_slots = free_slots(slots)};
    };
    std::vector<advised_entry> entries = {
        entry("far", "b", 9), entry("near", "a", 4), entry("small", "a", 2),
        entry("idle", "a", 0), entry("gone", "a", 9)};
    entries.back().leaving = true;
    random_engine random(3);
    std::map<std::string, int> first;
    for (int i = 0; i < 3000; ++i) {
        const auto order = advise_addresses(entries, lookup, {"a"}, 10, random);
        ASSERT_EQ(order.size(), 4u);
        EXPECT_EQ(order[3], "idle");
        ++first[order[0]];
    }
    // The caller's data centre holds 6 of 15 slots, where its share is 7.5.
    EXPECT_NEAR(first["far"], 600, 100);
    EXPECT_NEAR(first["near"], 1600, 150);
    EXPECT_NEAR(first["small"], 800, 150);
    entries[0].held_slots[lookup] = 6;
    for (int i = 0; i < 100; ++i)
        EXPECT_EQ(advise_addresses(entries, lookup, {"a"}, 10, random)[2],
                  "far");
}
