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

/// A table with `count` members that have all just sent a heartbeat.
member_table make_table(int count)
{
    member_table table(make_member("self", "d1"));
    for (int i = 0; i < count; ++i) {
        const auto name = "m" + std::to_string(i);
        table.on_identity(make_member(name, "d1"), start);
        table.on_heartbeat(make_heartbeat(name), start);
    }
    return table;
}

TEST(Members, AKnownMemberIsNotReadyBeforeItIsHeard)
{
    member_table table(make_member("self", "d1"));
    EXPECT_FALSE(table.on_heartbeat(make_heartbeat("a"), start));
    table.on_identity(make_member("a", "d1"), start);
    EXPECT_TRUE(table.ready_peers(start).empty());
    EXPECT_EQ(table.peers().size(), 1u);
    EXPECT_TRUE(table.on_heartbeat(make_heartbeat("a"), start));
    EXPECT_EQ(table.ready_peers(start).size(), 1u);
}

// A list of 528 members exceeded the 64 KiB limit of a row, and the store
// rejected it.
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
    std::set<data_centre_id> found;
    for (const auto& each : list)
        found.insert({each.at("data_centre").get<std::string>()});
    EXPECT_EQ(found.size(), 8u);
    EXPECT_EQ(list[0].at("name"), "self");
}

TEST(Members, AListOfFewMembersHasAll)
{
    const std::vector others{make_member("a", "d1"), make_member("b", "d2")};
    const auto list = nlohmann::json::parse(
        format_member_list(make_member("self", "d0"), others, 48 * 1024));
    EXPECT_EQ(list.size(), 3u);
}

// An outdated list replaced a live member, which was then unknown until it sent
// its identity again.
TEST(Members, AnOutdatedListDoesNotReplaceALiveMember)
{
    auto table = make_table(1);
    auto old = make_member("m0", "d1");
    old.incarnation = "0";
    table.on_listed(old, start + 1s);
    EXPECT_TRUE(table.on_heartbeat(make_heartbeat("m0"), start + 1s));
    // Once the member counts as dead, the list is the only source.
    table.on_listed(old, start + 10s);
    EXPECT_FALSE(table.on_heartbeat(make_heartbeat("m0"), start + 10s));
}

TEST(Members, ASilentMemberIsDeadUntilItIsHeardAgain)
{
    auto table = make_table(1);
    EXPECT_TRUE(table.advance(start));
    EXPECT_FALSE(table.advance(start + 1600ms));
    EXPECT_EQ(table.ready_peers(start + 1600ms).size(), 1u);
    EXPECT_TRUE(table.advance(start + 1800ms));
    EXPECT_TRUE(table.ready_peers(start + 1800ms).empty());
    EXPECT_TRUE(table.on_heartbeat(make_heartbeat("m0"), start + 5s));
    EXPECT_TRUE(table.advance(start + 5s));
    EXPECT_EQ(table.ready_peers(start + 5s).size(), 1u);
}

TEST(Members, ALeavingMemberIsNotReadyAnyMore)
{
    auto table = make_table(1);
    auto leaving = make_heartbeat("m0");
    leaving.leaving = true;
    table.on_heartbeat(leaving, start + 100ms);
    EXPECT_TRUE(table.ready_peers(start + 100ms).empty());
}

TEST(Members, ANewProcessUnderAnOldNameIsAskedWhoItIs)
{
    auto table = make_table(1);
    auto restarted = make_heartbeat("m0");
    restarted.incarnation = "2";
    EXPECT_FALSE(table.on_heartbeat(restarted, start + 1s));
}

// Where members do not all send heartbeats to each other, silence does not
// indicate a failure.
TEST(Members, AProbedMemberIsDeadOnlyWhenItIsDeclared)
{
    auto table = make_table(99);
    for (int i = 0; i < 99; ++i) {
        auto heartbeat = make_heartbeat("m" + std::to_string(i));
        heartbeat.is_probed = true;
        table.on_heartbeat(heartbeat, start);
    }
    EXPECT_TRUE(table.is_large());
    EXPECT_EQ(table.ready_peers(start + 1min).size(), 99u);
    // Another process under that name, or too soon after the last heartbeat.
    EXPECT_FALSE(table.on_declared_dead({"m0"}, "2", start + 5s));
    EXPECT_FALSE(table.on_declared_dead({"m0"}, "1", start + 100ms));
    EXPECT_TRUE(table.on_declared_dead({"m0"}, "1", start + 5s));
    EXPECT_EQ(table.ready_peers(start + 5s).size(), 98u);
    // A report by a peer does not revive it; its own heartbeat does.
    auto heartbeat = make_heartbeat("m0");
    heartbeat.is_probed = true;
    table.on_peer_report(make_member("m0", "d1"), heartbeat, start + 6s);
    EXPECT_TRUE(table.is_dead({"m0"}));
    table.on_heartbeat(heartbeat, start + 6s);
    EXPECT_EQ(table.ready_peers(start + 6s).size(), 99u);
}

TEST(Members, AReportedMemberIsLiveAndNotReliedOnAsReader)
{
    member_table table(make_member("self", "d1"));
    auto heartbeat = make_heartbeat("a");
    heartbeat.following = true;
    table.on_peer_report(make_member("a", "d1"), heartbeat, start);
    EXPECT_TRUE(table.ready_peers(start).empty());
    heartbeat.is_probed = true;
    table.on_peer_report(make_member("a", "d1"), heartbeat, start);
    ASSERT_EQ(table.live_peers(start).size(), 1u);
    EXPECT_EQ(table.live_peers(start).front().silent_for, duration::max());
}

TEST(Members, EqualViewsHaveEqualDigests)
{
    const auto one = make_table(5);
    auto other = make_table(5);
    EXPECT_EQ(one.view_digest(start), other.view_digest(start));
    EXPECT_NE(one.view_digest(start), make_table(4).view_digest(start));
    EXPECT_NE(one.view_digest(start), one.view_digest(start + 1min));
}

// An instance that received no requests left its share of a rate limit unused.
TEST(Members, AnIdleMemberIsReadyAndNotActive)
{
    auto table = make_table(3);
    table.advance(start);
    auto idle = make_heartbeat("m1");
    idle.is_idle = true;
    table.on_heartbeat(idle, start);
    EXPECT_TRUE(table.advance(start));
    EXPECT_EQ(table.ready_peers(start).size(), 3u);
    EXPECT_EQ(table.active_peers(start).size(), 2u);
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

// Callers were given any address that a member was listed with, valid or not.
TEST(Members, AMemberWithAnUnusableAddressIsRejected)
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

TEST(Members, AMemberWithANameUnfitForLogsIsRejected)
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

// Revision -1 was read as the highest possible one, and its receiver queried
// for it forever.
TEST(Members, NumbersInAHeartbeatMustBeIntegersInRange)
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

TEST(Members, AHeartbeatWithAFieldOfAnotherTypeIsRejected)
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

/// One of several instances, each deciding whether it reads the store.
struct candidate
{
    reader_election election{start - 10s};
    entry_id self;
    store_access store = store_access::untried;
    state_revisions revisions{1, 1};

    explicit candidate(const std::string& name) : self{name}
    {
    }

    bool follows(const std::vector<peer_status>& live, time_point now = start)
    {
        return election.should_follow(self, store, revisions, live, now);
    }
};

peer_status live_peer(const std::string& name, bool following,
                      store_access store = store_access::works)
{
    auto heartbeat = make_heartbeat(name);
    heartbeat.following = following;
    heartbeat.store = store;
    heartbeat.revisions = {1, 1};
    return {make_member(name, "d1"), heartbeat, 0ms};
}

// Callers were sent to members that reached no target.
TEST(MemberTable, OneThatIsCutOffFromTargetsIsNotReady)
{
    member_table table(make_member("self", "d1"));
    table.on_identity(make_member("a", "d1"), start);
    auto heartbeat = make_heartbeat("a");
    heartbeat.ready = true;
    table.on_heartbeat(heartbeat, start);
    EXPECT_EQ(table.ready_peers(start).size(), 1U);
    table.advance(start);
    heartbeat.is_cut_off = parse_member_heartbeat([&] {
                               auto cut = heartbeat;
                               cut.is_cut_off = true;
                               return to_json(cut);
                           }())
                               .is_cut_off;
    table.on_heartbeat(heartbeat, start);
    EXPECT_TRUE(table.advance(start));
    EXPECT_TRUE(table.ready_peers(start).empty());
    EXPECT_TRUE(table.active_peers(start).empty());
    EXPECT_EQ(table.cut_off_peers(start).size(), 1U);
    EXPECT_EQ(table.live_peers(start).size(), 1U);
}

// Members relied on readers of the version before, which knew no epochs, and
// so got no change that they could use.
TEST(ReaderElection, ReadersOfAnEarlierEpochAreNotReliedOn)
{
    const std::vector<peer_status> live = {
        live_peer("a", true), live_peer("b", true), live_peer("c", true)};
    std::string name = "d";
    while (candidate(name).follows(live))
        name += "d";
    candidate ahead(name);
    ahead.revisions = {make_revision(1, 1), make_revision(1, 1)};
    EXPECT_TRUE(ahead.follows(live));
}

TEST(ReaderElection, AReaderThatKnowsOneTableOfTheEpochIsReliedOn)
{
    const state_revisions both = {make_revision(1, 1), make_revision(1, 1)};
    const state_revisions one = {1, make_revision(1, 1)};
    const state_revisions neither = {9, 9};
    EXPECT_FALSE(one.is_of_earlier_epoch(both));
    EXPECT_TRUE(neither.is_of_earlier_epoch(both));
    EXPECT_FALSE(both.is_of_earlier_epoch(neither));
    // Without a table of targets.
    EXPECT_TRUE(
        (state_revisions{9, 0}.is_of_earlier_epoch({make_revision(1, 1), 0})));
}

TEST(ReaderElection, AFewReadTheStoreForAll)
{
    std::vector<std::string> names;
    for (int i = 0; i < 50; ++i)
        names.push_back("m" + std::to_string(i));
    int following = 0;
    for (const auto& name : names) {
        std::vector<peer_status> live;
        for (const auto& other : names)
            if (other != name)
                live.push_back(live_peer(other, true));
        following += candidate(name).follows(live);
    }
    EXPECT_EQ(following, 3);
}

/// Fills `live` with peers, three of them readers, and makes an instance that
/// is not elected as a reader among them.
candidate make_non_reader(std::vector<peer_status>& live)
{
    for (int i = 0; i < 20; ++i)
        live.push_back(live_peer("m" + std::to_string(i), i < 3));
    for (int i = 0;; ++i) {
        candidate made("x" + std::to_string(i));
        if (!made.follows(live))
            return made;
    }
}

// When all instances start together, each knows only its seeds at first and
// would elect itself as a reader.
TEST(ReaderElection, AStartingInstanceReliesOnReadersThatItHears)
{
    const std::vector<peer_status> live{live_peer("m0", true)};
    candidate started("x");
    started.election = reader_election(start);
    EXPECT_FALSE(started.follows(live, start + 1s));
    EXPECT_TRUE(started.follows(live, start + 2s));
    candidate alone("x");
    alone.election = reader_election(start);
    EXPECT_FALSE(alone.follows({}, start + 500ms));
    EXPECT_TRUE(alone.follows({}, start + 700ms));
}

peer_status peer_at(std::uint64_t operators, bool following, store_access store)
{
    auto made = live_peer("m0", following);
    made.heartbeat.store = store;
    made.heartbeat.revisions.operators = operators;
    return made;
}

// An outdated configuration was passed on from one starting instance to the
// next.
TEST(TableFreshness, ACopyFromAPeerThatLagsIsNotTakenForTheNewest)
{
    table_freshness state;
    state.update(4, false, std::vector{peer_at(4, false, {})});
    EXPECT_FALSE(state.is_fresh());
    const auto untried = store_access::untried;
    state.update(4, false, std::vector{peer_at(4, true, untried)});
    EXPECT_FALSE(state.is_fresh()) << "that reader has not read yet";
    const auto works = store_access::works;
    state.update(4, false, std::vector{peer_at(7, true, works)});
    EXPECT_FALSE(state.is_fresh());
    state.update(7, false, std::vector{peer_at(7, true, works)});
    EXPECT_TRUE(state.is_fresh());
}

TEST(TableFreshness, LastsThroughAnOutageUnlessAPeerKnowsMore)
{
    table_freshness state;
    state.update(4, true, {});
    EXPECT_TRUE(state.is_fresh());
    const auto lost = store_access::lost;
    state.update(4, false, std::vector{peer_at(4, true, lost)});
    EXPECT_TRUE(state.is_fresh());
    state.update(4, false, std::vector{peer_at(5, true, lost)});
    EXPECT_FALSE(state.is_fresh());
    state.update(5, false, std::vector{peer_at(5, true, lost)});
    EXPECT_TRUE(state.is_fresh());
}

TEST(ReaderElection, AnInstanceThatPeersCannotServeReadsTheStore)
{
    std::vector<peer_status> live;
    auto non_reader = make_non_reader(live);
    EXPECT_FALSE(non_reader.follows(live));
    non_reader.election.need_store(start);
    EXPECT_TRUE(non_reader.follows(live));
    EXPECT_FALSE(non_reader.follows(live, start + 3s));
}

TEST(ReaderElection, AnInstanceThatStillAdvancesDoesNotLag)
{
    std::vector<peer_status> live;
    auto non_reader = make_non_reader(live);
    for (int i = 0; i < 20; ++i) {
        live.back().heartbeat.revisions.targets += 1;
        EXPECT_FALSE(non_reader.follows(live, start + i * 100ms));
        non_reader.revisions.targets += 1;
    }
}

TEST(ReaderElection, AnInstanceThatHearsNoReaderReadsTheStore)
{
    std::vector<peer_status> live;
    auto non_reader = make_non_reader(live);
    for (auto& each : live)
        each.silent_for = 1s;
    EXPECT_TRUE(non_reader.follows(live));
}

TEST(ReaderElection, ReadersThatLostTheStoreAreReplaced)
{
    std::vector<peer_status> live;
    auto non_reader = make_non_reader(live);
    for (auto& each : live)
        if (each.heartbeat.following)
            each.heartbeat.store = store_access::lost;
    EXPECT_TRUE(non_reader.follows(live));
}

// While the store is down for all, retries by every instance are of no use.
TEST(ReaderElection, AnInstanceThatLostTheStoreLeavesRetriesToTheReaders)
{
    std::vector<peer_status> live;
    auto non_reader = make_non_reader(live);
    for (auto& each : live)
        each.heartbeat.store = store_access::lost;
    non_reader.store = store_access::lost;
    int following = non_reader.follows(live);
    for (int i = 0; i < 20; ++i)
        following += candidate("m" + std::to_string(i)).follows({});
    EXPECT_EQ(following, 20) << "each of them reads when alone";
}

TEST(ReaderElection, AnInstanceThatLagsReadsTheStore)
{
    std::vector<peer_status> live;
    auto non_reader = make_non_reader(live);
    live.back().heartbeat.revisions.targets = 2;
    EXPECT_FALSE(non_reader.follows(live, start));
    EXPECT_FALSE(non_reader.follows(live, start + 600ms));
    EXPECT_TRUE(non_reader.follows(live, start + 800ms));
    live.back().heartbeat.revisions.targets = 1;
    EXPECT_TRUE(non_reader.follows(live, start + 1s));
    EXPECT_FALSE(non_reader.follows(live, start + 4s));
}

// A new configuration does not arrive, while the targets table keeps advancing.
TEST(ReaderElection, AnInstanceThatLagsOnOneTableOnlyReadsTheStore)
{
    std::vector<peer_status> live;
    auto non_reader = make_non_reader(live);
    live.back().heartbeat.revisions.operators = 2;
    bool follows = false;
    for (int i = 0; i < 9; ++i) {
        EXPECT_FALSE(follows) << i;
        live.back().heartbeat.revisions.targets += 1;
        follows = non_reader.follows(live, start + i * 100ms);
        non_reader.revisions.targets += 1;
    }
    EXPECT_TRUE(follows);
}

TEST(AddressSelection, CallersAreGivenInstancesOfTheirDataCentre)
{
    random_engine random(1);
    const std::vector<member> ready{
        make_member("a", "d1"), make_member("b", "d2"), make_member("c", "d2")};
    EXPECT_EQ(select_addresses(ready, {"d1"}, random),
              std::vector<std::string>{"a:1"});
    EXPECT_EQ(select_addresses(ready, {"d2"}, random).size(), 2u);
    EXPECT_EQ(select_addresses(ready, {"d3"}, random).size(), 3u);
}

TEST(AddressSelection, OfManyInstancesASampleIsReturned)
{
    random_engine random(1);
    std::vector<member> ready;
    for (int i = 0; i < 100; ++i)
        ready.push_back(make_member("m" + std::to_string(i), "d1"));
    const auto one = select_addresses(ready, {"d1"}, random);
    const auto other = select_addresses(ready, {"d1"}, random);
    EXPECT_EQ(one.size(), max_returned_addresses);
    EXPECT_NE(one, other);
}

} // namespace
