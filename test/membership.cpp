#include "vanillapost/membership.hpp"
#include "vanillapost/base.hpp"

#include <gtest/gtest.h>

using namespace vanillapost;
using namespace std::chrono_literals;

namespace {

const entry_incarnation old_process{{"e"}, "1"};
const entry_incarnation new_process{{"e"}, "2"};

instance_list list_of(duration age, std::vector<entry_incarnation> shown)
{
    instance_list result{.age = age, .instances = {}};
    for (const entry_incarnation& who : shown) {
        result.instances.push_back({.who = who,
                                    .data_centre = {"a"},
                                    .http_address = {},
                                    .mesh_address = {}});
    }
    return result;
}

time_point at(duration since_start)
{
    return time_point(since_start);
}

} // namespace

TEST(membership, process_that_leaves_the_list_has_ended)
{
    liveness members;
    members.apply(list_of(1s, {old_process}), at(10s), at(10s));
    EXPECT_TRUE(members.is_live(old_process));
    members.apply(list_of(1s, {new_process}), at(12s), at(12s));
    EXPECT_EQ(members.ended_since(old_process), at(12s));
    EXPECT_TRUE(members.is_live(new_process));
    EXPECT_FALSE(members.ended_for(old_process, 2s, at(13s)));
    EXPECT_TRUE(members.ended_for(old_process, 2s, at(14s)));
}

TEST(membership, older_list_neither_ends_nor_revives)
{
    liveness members;
    members.apply(list_of(1s, {new_process}), at(10s), at(10s));
    members.apply(list_of(5s, {}), at(11s), at(11s));
    EXPECT_TRUE(members.is_live(new_process));
    members.note_ended(new_process, at(12s));
    members.apply(list_of(1s, {new_process}), at(13s), at(13s));
    EXPECT_FALSE(members.is_live(new_process));
}

TEST(membership, process_named_after_the_snapshot_is_not_ended_by_it)
{
    liveness members;
    members.note_named(new_process, at(10s));
    members.apply(list_of(4s, {}), at(12s), at(12s));
    EXPECT_FALSE(members.ended_since(new_process));
    members.apply(list_of(0s, {}), at(12s), at(12s));
    EXPECT_TRUE(members.ended_since(new_process));
}

TEST(membership, list_that_waited_in_a_paused_process_is_old)
{
    liveness members;
    members.note_named(new_process, at(11s));
    members.apply(list_of(1s, {}), at(10s), at(20s));
    EXPECT_FALSE(members.ended_since(new_process));
}
