#include "vanillapost/members.hpp"
#include "vanillapost/src/base/error.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

using namespace vanillapost;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};

member make_member(const std::string& name, const std::string& data_centre)
{
    return {{name},      "1",           {data_centre},
            name + ":1", "127.0.0.1:2", "127.0.0.1:3"};
}

member_heartbeat make_heartbeat(const std::string& name)
{
    member_heartbeat made;
    made.name = {name};
    made.incarnation = "1";
    made.ready = true;
    return made;
}

/// A table that knows `count` members, all just heard.
member_table heard(int count)
{
    member_table table(make_member("self", "d1"));
    for (int i = 0; i < count; ++i) {
        const auto name = "m" + std::to_string(i);
        table.on_known(make_member(name, "d1"), start);
        table.on_heartbeat(make_heartbeat(name), start);
    }
    return table;
}

TEST(Members, AKnownMemberIsNotToldBeforeItIsHeard)
{
    member_table table(make_member("self", "d1"));
    EXPECT_FALSE(table.on_heartbeat(make_heartbeat("a"), start));
    table.on_known(make_member("a", "d1"), start);
    EXPECT_TRUE(table.ready_peers(start).empty());
    EXPECT_EQ(table.peers().size(), 1u);
    EXPECT_TRUE(table.on_heartbeat(make_heartbeat("a"), start));
    EXPECT_EQ(table.ready_peers(start).size(), 1u);
}

// The whole list of 528 was over the 64 KiB of a row, and the store refused it.
TEST(Members, AListOfManyMembersFitsIntoARow)
{
    constexpr std::size_t row = 48 * 1024;
    std::vector<member> others;
    for (int i = 0; i < 1000; ++i) {
        member made = make_member("entry-" + std::to_string(i),
                                  "d" + std::to_string(i % 8));
        made.caller_address = "10.110.120.130:18381";
        made.peer_address = "10.110.120.130:17200";
        made.query_address = "10.110.120.130:18382";
        others.push_back(made);
        const auto text =
            format_member_list(make_member("self", "d0"), others, row);
        ASSERT_LE(text.size(), row) << others.size();
    }
    const auto list = nlohmann::json::parse(
        format_member_list(make_member("self", "d0"), others, row));
    EXPECT_GT(list.size(), 100u);
    std::set<data_centre_id> told;
    for (const auto& each : list)
        told.insert({each.at("data_centre").get<std::string>()});
    EXPECT_EQ(told.size(), 8u);
    EXPECT_EQ(list[0].at("name"), "self");
}

TEST(Members, AListOfFewMembersHasAll)
{
    const std::vector others{make_member("a", "d1"), make_member("b", "d2")};
    const auto list = nlohmann::json::parse(
        format_member_list(make_member("self", "d0"), others, 48 * 1024));
    EXPECT_EQ(list.size(), 3u);
}

// An old list made a member that was heard unknown until it greeted again.
TEST(Members, AnOldListReplacedAMemberThatWasHeard)
{
    auto table = heard(1);
    auto old = make_member("m0", "d1");
    old.incarnation = "0";
    table.on_listed(old, start + 1s);
    EXPECT_TRUE(table.on_heartbeat(make_heartbeat("m0"), start + 1s));
    // Once it is dead, the list is all there is.
    table.on_listed(old, start + 10s);
    EXPECT_FALSE(table.on_heartbeat(make_heartbeat("m0"), start + 10s));
}

TEST(Members, ASilentMemberIsDeadUntilItIsHeardAgain)
{
    auto table = heard(1);
    EXPECT_TRUE(table.advance(start));
    EXPECT_FALSE(table.advance(start + 1600ms));
    EXPECT_EQ(table.ready_peers(start + 1600ms).size(), 1u);
    EXPECT_TRUE(table.advance(start + 1800ms));
    EXPECT_TRUE(table.ready_peers(start + 1800ms).empty());
    EXPECT_TRUE(table.on_heartbeat(make_heartbeat("m0"), start + 5s));
    EXPECT_TRUE(table.advance(start + 5s));
    EXPECT_EQ(table.ready_peers(start + 5s).size(), 1u);
}

TEST(Members, ALeavingMemberIsNotToldAnyMore)
{
    auto table = heard(1);
    auto leaving = make_heartbeat("m0");
    leaving.leaving = true;
    table.on_heartbeat(leaving, start + 100ms);
    EXPECT_TRUE(table.ready_peers(start + 100ms).empty());
}

TEST(Members, ANewProcessUnderAnOldNameIsAskedWhoItIs)
{
    auto table = heard(1);
    auto restarted = make_heartbeat("m0");
    restarted.incarnation = "2";
    EXPECT_FALSE(table.on_heartbeat(restarted, start + 1s));
}

// Where not everybody hears everybody, silence means nothing.
TEST(Members, AProbedMemberIsDeadOnlyWhenItIsDeclared)
{
    auto table = heard(99);
    for (int i = 0; i < 99; ++i) {
        auto heartbeat = make_heartbeat("m" + std::to_string(i));
        heartbeat.is_probed = true;
        table.on_heartbeat(heartbeat, start);
    }
    EXPECT_TRUE(table.is_large());
    EXPECT_EQ(table.ready_peers(start + 1min).size(), 99u);
    // Of another process under that name, or just after it was heard.
    EXPECT_FALSE(table.on_dead({"m0"}, "2", start + 5s));
    EXPECT_FALSE(table.on_dead({"m0"}, "1", start + 100ms));
    EXPECT_TRUE(table.on_dead({"m0"}, "1", start + 5s));
    EXPECT_EQ(table.ready_peers(start + 5s).size(), 98u);
    // An old word of a peer does not bring it back; it does itself.
    auto heartbeat = make_heartbeat("m0");
    heartbeat.is_probed = true;
    table.on_told(make_member("m0", "d1"), heartbeat, start + 6s);
    EXPECT_TRUE(table.is_dead({"m0"}));
    table.on_heartbeat(heartbeat, start + 6s);
    EXPECT_EQ(table.ready_peers(start + 6s).size(), 99u);
}

TEST(Members, AMemberThatIsToldOfIsLiveAndNoReaderToRelyOn)
{
    member_table table(make_member("self", "d1"));
    auto heartbeat = make_heartbeat("a");
    heartbeat.following = true;
    table.on_told(make_member("a", "d1"), heartbeat, start);
    EXPECT_TRUE(table.ready_peers(start).empty());
    heartbeat.is_probed = true;
    table.on_told(make_member("a", "d1"), heartbeat, start);
    ASSERT_EQ(table.live_peers(start).size(), 1u);
    EXPECT_EQ(table.live_peers(start).front().silent_for, duration::max());
}

TEST(Members, EqualViewsHaveEqualDigests)
{
    const auto one = heard(5);
    auto other = heard(5);
    EXPECT_EQ(one.view(start), other.view(start));
    EXPECT_NE(one.view(start), heard(4).view(start));
    EXPECT_NE(one.view(start), one.view(start + 1min));
}

// An owner of a part of a rate that no caller reached left it unused.
TEST(Members, AnIdleMemberIsReadyAndNotBusy)
{
    auto table = heard(3);
    table.advance(start);
    auto idle = make_heartbeat("m1");
    idle.is_idle = true;
    table.on_heartbeat(idle, start);
    EXPECT_TRUE(table.advance(start));
    EXPECT_EQ(table.ready_peers(start).size(), 3u);
    EXPECT_EQ(table.busy_peers(start).size(), 2u);
    EXPECT_FALSE(table.advance(start));
    EXPECT_TRUE(parse_member_heartbeat(to_json(idle)).is_idle);
}

TEST(Members, AHeartbeatSurvivesItsEncoding)
{
    auto heartbeat = make_heartbeat("a");
    heartbeat.following = true;
    heartbeat.store = store_access::lost;
    heartbeat.revisions = {7, 42};
    const auto read = parse_member_heartbeat(to_json(heartbeat));
    EXPECT_EQ(read.name, heartbeat.name);
    EXPECT_EQ(read.revisions, heartbeat.revisions);
    EXPECT_EQ(read.store, store_access::lost);
    EXPECT_TRUE(read.ready && read.following && !read.leaving);
}

nlohmann::json good_member()
{
    return {{"name", "a"},
            {"incarnation", "1"},
            {"data_centre", "d1"},
            {"caller_address", "10.0.0.1:80"},
            {"peer_address", "10.0.0.1:81"},
            {"query_address", "[::1]:82"}};
}

// The directory told callers whatever address a member was listed with.
TEST(Members, AMemberThatCannotBeReachedIsRefused)
{
    EXPECT_EQ(to_json(parse_member(good_member())), good_member());
    for (const auto* field :
         {"caller_address", "peer_address", "query_address"})
        for (const auto* text :
             {"", "nowhere", "10.0.0.1", "10.0.0.1:0", "0.0.0.0:80",
              "255.255.255.255:80", "224.0.0.1:80", "10.0.0.1:80\r\n"}) {
            auto bad = good_member();
            bad[field] = text;
            EXPECT_THROW(parse_member(bad), error) << field << ' ' << text;
        }
}

TEST(Members, AMemberWithANameThatNoLogCanHoldIsRefused)
{
    for (const auto* field : {"name", "incarnation", "data_centre"})
        for (const auto& text :
             {std::string(), std::string("a\r\nb"), std::string(201, 'a')}) {
            auto bad = good_member();
            bad[field] = text;
            EXPECT_THROW(parse_member(bad), error) << field << ' ' << text;
        }
    EXPECT_THROW(parse_member("a"), error);
    EXPECT_THROW(parse_member(nullptr), error);
}

// Revision -1 became the highest of all: its receiver asked without an end.
TEST(Members, AHeartbeatsNumbersMustBeWholeAndMakeSense)
{
    const auto whole = to_json(make_heartbeat("a"));
    for (const auto* field : {"s", "o", "t"})
        for (const nlohmann::json& value :
             {nlohmann::json(-1), nlohmann::json(1.5), nlohmann::json(1e300),
              nlohmann::json(true), nlohmann::json(UINT64_MAX)}) {
            auto bad = whole;
            bad[field] = value;
            EXPECT_THROW(parse_member_heartbeat(bad), error)
                << field << ' ' << value;
        }
}

RC_GTEST_PROP(Members, MembersAndHeartbeatsSurviveTheirEncoding, ())
{
    const auto port = [] {
        return ":" + std::to_string(*rc::gen::inRange(1, 65536));
    };
    const auto name = [] {
        return *rc::gen::nonEmpty(
            rc::gen::container<std::string>(rc::gen::inRange(' ', '~')));
    };
    const member who{{name()},         name(),
                     {name()},         "10.0.0.1" + port(),
                     "[::1]" + port(), "127.0.0.1" + port()};
    RC_ASSERT(parse_member(nlohmann::json::parse(to_json(who).dump())) == who);
    auto heartbeat = make_heartbeat(who.name.value);
    heartbeat.store = *rc::gen::element(
        store_access::untried, store_access::works, store_access::lost);
    heartbeat.revisions = {*rc::gen::inRange<std::uint64_t>(0, 1ULL << 53),
                           *rc::gen::inRange<std::uint64_t>(0, 1ULL << 53)};
    const auto text = to_json(heartbeat);
    RC_ASSERT(to_json(parse_member_heartbeat(
                  nlohmann::json::parse(text.dump()))) == text);
}

TEST(Members, AHeartbeatWithAFieldOfAnotherTypeIsRefused)
{
    const auto whole = to_json(make_heartbeat("a"));
    for (const auto& [name, value] : whole.items()) {
        auto broken = whole;
        broken[name] = nlohmann::json::array();
        EXPECT_THROW(parse_member_heartbeat(broken), error) << name;
        broken.erase(name);
        EXPECT_THROW(parse_member_heartbeat(broken), error) << name;
    }
    auto unknown = whole;
    unknown["s"] = 9;
    EXPECT_THROW(parse_member_heartbeat(unknown), error);
}

/// What one of several instances decides about following the store.
struct chooser
{
    reader_choice choice{start - 10s};
    entry_id self;
    store_access store = store_access::untried;
    state_revisions revisions{1, 1};

    explicit chooser(const std::string& name) : self{name}
    {
    }

    bool follows(const std::vector<known_member>& live, time_point now = start)
    {
        return choice.should_follow(self, store, revisions, live, now);
    }
};

known_member live_peer(const std::string& name, bool following,
                       store_access store = store_access::works)
{
    auto heartbeat = make_heartbeat(name);
    heartbeat.following = following;
    heartbeat.store = store;
    heartbeat.revisions = {1, 1};
    return {make_member(name, "d1"), heartbeat, 0ms};
}

TEST(ReaderChoice, AFewFollowTheStoreForAll)
{
    std::vector<std::string> names;
    for (int i = 0; i < 50; ++i)
        names.push_back("m" + std::to_string(i));
    int following = 0;
    for (const auto& name : names) {
        std::vector<known_member> live;
        for (const auto& other : names)
            if (other != name)
                live.push_back(live_peer(other, true));
        following += chooser(name).follows(live);
    }
    EXPECT_EQ(following, 3);
}

/// One that is no reader among these.
chooser idle_chooser(std::vector<known_member>& live)
{
    for (int i = 0; i < 20; ++i)
        live.push_back(live_peer("m" + std::to_string(i), i < 3));
    for (int i = 0;; ++i) {
        chooser made("x" + std::to_string(i));
        if (!made.follows(live))
            return made;
    }
}

// All start together: whoever knows only the seeds would take itself for one
// of the first.
TEST(ReaderChoice, WhoHasJustStartedReliesOnReadersThatItHears)
{
    const std::vector<known_member> live{live_peer("m0", true)};
    chooser fresh("x");
    fresh.choice = reader_choice(start);
    EXPECT_FALSE(fresh.follows(live, start + 1s));
    EXPECT_TRUE(fresh.follows(live, start + 2s));
    chooser alone("x");
    alone.choice = reader_choice(start);
    EXPECT_FALSE(alone.follows({}, start + 500ms));
    EXPECT_TRUE(alone.follows({}, start + 700ms));
}

known_member peer_at(std::uint64_t operators, bool following,
                     store_access store)
{
    auto made = live_peer("m0", following);
    made.heartbeat.store = store;
    made.heartbeat.revisions.operators = operators;
    return made;
}

// An old configuration went from one starting instance to the next.
TEST(Freshness, WhoLearntFromAPeerLeftBehindTookItForTheNewest)
{
    freshness known;
    known.update(4, false, std::vector{peer_at(4, false, {})});
    EXPECT_FALSE(known.is_fresh());
    const auto untried = store_access::untried;
    known.update(4, false, std::vector{peer_at(4, true, untried)});
    EXPECT_FALSE(known.is_fresh()) << "that reader has not read yet";
    const auto works = store_access::works;
    known.update(4, false, std::vector{peer_at(7, true, works)});
    EXPECT_FALSE(known.is_fresh());
    known.update(7, false, std::vector{peer_at(7, true, works)});
    EXPECT_TRUE(known.is_fresh());
}

TEST(Freshness, LastsThroughAnOutageUnlessAPeerKnowsMore)
{
    freshness known;
    known.update(4, true, {});
    EXPECT_TRUE(known.is_fresh());
    const auto lost = store_access::lost;
    known.update(4, false, std::vector{peer_at(4, true, lost)});
    EXPECT_TRUE(known.is_fresh());
    known.update(4, false, std::vector{peer_at(5, true, lost)});
    EXPECT_FALSE(known.is_fresh());
    known.update(5, false, std::vector{peer_at(5, true, lost)});
    EXPECT_TRUE(known.is_fresh());
}

TEST(ReaderChoice, WhoCannotBeToldByPeersFollowsItself)
{
    std::vector<known_member> live;
    auto idle = idle_chooser(live);
    EXPECT_FALSE(idle.follows(live));
    idle.choice.need_store(start);
    EXPECT_TRUE(idle.follows(live));
    EXPECT_FALSE(idle.follows(live, start + 3s));
}

TEST(ReaderChoice, WhoLearnsOnIsNotBehind)
{
    std::vector<known_member> live;
    auto idle = idle_chooser(live);
    for (int i = 0; i < 20; ++i) {
        live.back().heartbeat.revisions.targets += 1;
        EXPECT_FALSE(idle.follows(live, start + i * 100ms));
        idle.revisions.targets += 1;
    }
}

TEST(ReaderChoice, WhoHearsNoReaderFollowsItself)
{
    std::vector<known_member> live;
    auto idle = idle_chooser(live);
    for (auto& each : live)
        each.silent_for = 1s;
    EXPECT_TRUE(idle.follows(live));
}

TEST(ReaderChoice, ReadersThatLostTheStoreAreReplaced)
{
    std::vector<known_member> live;
    auto idle = idle_chooser(live);
    for (auto& each : live)
        if (each.heartbeat.following)
            each.heartbeat.store = store_access::lost;
    EXPECT_TRUE(idle.follows(live));
}

// The store is down for all: that all ask it again and again helps nobody.
TEST(ReaderChoice, WhoFoundTheStoreLostLeavesItToTheReaders)
{
    std::vector<known_member> live;
    auto idle = idle_chooser(live);
    for (auto& each : live)
        each.heartbeat.store = store_access::lost;
    idle.store = store_access::lost;
    int following = idle.follows(live);
    for (int i = 0; i < 20; ++i)
        following += chooser("m" + std::to_string(i)).follows({});
    EXPECT_EQ(following, 20) << "alone, each of them asks";
}

TEST(ReaderChoice, WhoStaysBehindFollowsItself)
{
    std::vector<known_member> live;
    auto idle = idle_chooser(live);
    live.back().heartbeat.revisions.targets = 2;
    EXPECT_FALSE(idle.follows(live, start));
    EXPECT_FALSE(idle.follows(live, start + 600ms));
    EXPECT_TRUE(idle.follows(live, start + 800ms));
    live.back().heartbeat.revisions.targets = 1;
    EXPECT_TRUE(idle.follows(live, start + 1s));
    EXPECT_FALSE(idle.follows(live, start + 4s));
}

// A configuration that is not learnt, while targets come and go all the time.
TEST(ReaderChoice, WhoStaysBehindOnOneTableOnlyFollowsItself)
{
    std::vector<known_member> live;
    auto idle = idle_chooser(live);
    live.back().heartbeat.revisions.operators = 2;
    bool follows = false;
    for (int i = 0; i < 9; ++i) {
        EXPECT_FALSE(follows) << i;
        live.back().heartbeat.revisions.targets += 1;
        follows = idle.follows(live, start + i * 100ms);
        idle.revisions.targets += 1;
    }
    EXPECT_TRUE(follows);
}

TEST(AddressChoice, CallersAreToldInstancesOfTheirDataCentre)
{
    random_engine random(1);
    const std::vector<member> ready{
        make_member("a", "d1"), make_member("b", "d2"), make_member("c", "d2")};
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
