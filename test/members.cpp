#include "vanillapost/members.hpp"
#include "vanillapost/src/base/error.hpp"

#include <gtest/gtest.h>

using namespace vanillapost;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};

member make_member(const std::string& name, const std::string& data_centre)
{
    return {{name}, "1",           {data_centre}, name + ":1",
            "127.0.0.1:2", "127.0.0.1:3"};
}

member_status make_status(const std::string& name)
{
    member_status made;
    made.who = make_member(name, "d1");
    made.ready = true;
    return made;
}

TEST(Members, AListedMemberIsNotToldBeforeItIsHeard)
{
    member_table table(make_member("self", "d1"));
    table.on_known(make_member("a", "d1"), start);
    EXPECT_TRUE(table.ready_peers(start).empty());
    EXPECT_EQ(table.peers().size(), 1u);
    EXPECT_TRUE(table.on_status(make_status("a"), start));
    EXPECT_EQ(table.ready_peers(start).size(), 1u);
}

TEST(Members, ASilentMemberIsDeadUntilItIsHeardAgain)
{
    member_table table(make_member("self", "d1"));
    table.on_status(make_status("a"), start);
    EXPECT_EQ(table.ready_peers(start + 1600ms).size(), 1u);
    EXPECT_TRUE(table.ready_peers(start + 1800ms).empty());
    EXPECT_TRUE(table.on_status(make_status("a"), start + 5s));
    EXPECT_EQ(table.ready_peers(start + 5s).size(), 1u);
}

TEST(Members, ALeavingMemberIsNotToldAnyMore)
{
    member_table table(make_member("self", "d1"));
    table.on_status(make_status("a"), start);
    auto leaving = make_status("a");
    leaving.leaving = true;
    EXPECT_TRUE(table.on_status(leaving, start + 100ms));
    EXPECT_TRUE(table.ready_peers(start + 100ms).empty());
}

TEST(Members, HeartbeatsSlowDownWithTheirNumberAndSoDoesTheirJudge)
{
    member_table table(make_member("self", "d1"));
    for (int i = 0; i < 99; ++i)
        table.on_status(make_status("m" + std::to_string(i)), start);
    EXPECT_EQ(table.heartbeat_interval(), 1s);
    EXPECT_EQ(table.ready_peers(start + 3s).size(), 99u);
}

TEST(Members, StatusSurvivesItsEncoding)
{
    auto status = make_status("a");
    status.configuration_version = 7;
    status.state_revision = 42;
    status.store_reachable = true;
    const auto read = parse_member_status(to_json(status));
    EXPECT_EQ(read.who, status.who);
    EXPECT_EQ(read.configuration_version, 7u);
    EXPECT_EQ(read.state_revision, 42u);
    EXPECT_TRUE(read.ready && read.store_reachable && !read.leaving);
}

TEST(Members, AStatusWithAFieldOfAnotherTypeIsRefused)
{
    const auto whole = to_json(make_status("a"));
    for (const auto& [name, value] : whole.items()) {
        auto broken = whole;
        broken[name] = nlohmann::json::array();
        EXPECT_THROW(parse_member_status(broken), error) << name;
        broken.erase(name);
        EXPECT_THROW(parse_member_status(broken), error) << name;
    }
}

TEST(AddressChoice, CallersAreToldInstancesOfTheirDataCentre)
{
    random_engine random(1);
    const std::vector<member> ready{make_member("a", "d1"),
                                    make_member("b", "d2"),
                                    make_member("c", "d2")};
    EXPECT_EQ(choose_addresses(ready, {"d1"}, random),
              std::vector<std::string>{"a:1"});
    EXPECT_EQ(choose_addresses(ready, {"d2"}, random).size(), 2u);
    EXPECT_EQ(choose_addresses(ready, {"d3"}, random).size(), 3u);
}

TEST(AddressChoice, OfManyASelectionIsTold)
{
    random_engine random(1);
    std::vector<member> ready;
    for (int i = 0; i < 100; ++i)
        ready.push_back(make_member("m" + std::to_string(i), "d1"));
    const auto one = choose_addresses(ready, {"d1"}, random);
    const auto other = choose_addresses(ready, {"d1"}, random);
    EXPECT_EQ(one.size(), max_told_addresses);
    EXPECT_NE(one, other);
}

} // namespace
