/// Simulates fleets of members in virtual time over links that lose messages,
/// are cut, or work in one direction only.

#include "vanillapost/members.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <queue>

using namespace vanillapost;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};
constexpr duration turn_interval = 200ms;

member make_member(std::size_t index)
{
    const auto name = "m" + std::to_string(index);
    return {{name}, "1", {"d"}, name + ":1", name + ":2", name + ":3"};
}

class fleet
{
public:
    struct node
    {
        member_table members;
        failure_detector detector;
        bool runs = true;     ///< false: stalled, or terminated
        std::size_t sent = 0; ///< number of messages
        std::vector<std::function<void()>> held_back; ///< while it is stalled
    };

    explicit fleet(std::size_t size, const detector_settings& settings = {},
                   std::uint64_t seed = 5)
        : random_(seed)
    {
        for (std::size_t i = 0; i < size; ++i)
            nodes_.push_back(
                {member_table(make_member(i)),
                 failure_detector(settings, random_engine(seed, i)),
                 true,
                 0,
                 {}});
        for (std::size_t i = 0; i < size; ++i) {
            for (std::size_t j = 0; j < size; ++j)
                introduce(i, j);
            at(start + duration(random_() % 200'000),
               [this, i] { take_turn(i); });
        }
    }

    void run_until(time_point end)
    {
        while (!events_.empty() && events_.top().when <= end) {
            const auto event = events_.top();
            events_.pop();
            now_ = event.when;
            event.run();
        }
        now_ = end;
    }

    /// Whether every other running node considers it dead.
    bool is_dead_everywhere(std::size_t index) const
    {
        return count_considering_dead(index) == count_other_running(index);
    }

    std::size_t count_considering_dead(std::size_t index) const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            if (i != index && nodes_[i].runs)
                count += nodes_[i].members.is_dead(make_member(index).name);
        return count;
    }

    std::size_t count_other_running(std::size_t index) const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            count += i != index && nodes_[i].runs;
        return count;
    }

    /// Number of pairs of a running node and a node that it considers dead.
    std::size_t count_dead_views() const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            count += count_considering_dead(i);
        return count;
    }

    void stop(std::size_t index)
    {
        nodes_[index].runs = false;
    }

    /// The node runs again and processes what arrived meanwhile.
    void resume(std::size_t index)
    {
        auto& each = nodes_[index];
        each.runs = true;
        for (auto& event : std::exchange(each.held_back, {}))
            event();
        take_turn(index);
    }

    std::size_t messages() const
    {
        std::size_t sum = 0;
        for (const auto& each : nodes_)
            sum += each.sent;
        return sum;
    }

    std::size_t declarations() const
    {
        return declarations_;
    }

    double loss = 0;
    std::function<bool(std::size_t from, std::size_t to)> is_cut =
        [](auto, auto) { return false; };

    time_point now() const
    {
        return now_;
    }

private:
    struct event
    {
        time_point when;
        std::function<void()> run;

        bool operator<(const event& other) const
        {
            return when > other.when;
        }
    };

    void introduce(std::size_t to, std::size_t who)
    {
        if (to == who)
            return;
        auto& table = nodes_[to].members;
        table.on_identity(make_member(who), start);
        table.on_heartbeat(heartbeat_of(who), start);
    }

    static member_heartbeat heartbeat_of(std::size_t index)
    {
        member_heartbeat made;
        made.name = make_member(index).name;
        made.incarnation = "1";
        made.ready = true;
        made.is_probed = true;
        return made;
    }

    void at(time_point when, std::function<void()> run)
    {
        events_.push({when, std::move(run)});
    }

    static std::size_t index_of(const entry_id& name)
    {
        return std::stoul(name.value.substr(1));
    }

    void take_turn(std::size_t index)
    {
        auto& each = nodes_[index];
        if (!each.runs)
            return;
        apply(index, each.detector.advance(each.members, now_));
        at(now_ + turn_interval, [this, index] { take_turn(index); });
    }

    void send(std::size_t from, std::size_t to, std::function<void()> arrive)
    {
        ++nodes_[from].sent;
        if (is_cut(from, to) || draw_share(random_) < loss)
            return;
        at(now_ + 1ms, [this, to, arrive = std::move(arrive)] {
            if (nodes_[to].runs)
                arrive();
            else
                nodes_[to].held_back.push_back(arrive);
        });
    }

    void receive(std::size_t by, std::size_t from)
    {
        nodes_[by].members.on_heartbeat(heartbeat_of(from), now_);
        nodes_[by].detector.on_message_from(make_member(from).name);
    }

    void send_heartbeat(std::size_t from)
    {
        for (std::size_t to = 0; to < nodes_.size(); ++to)
            if (to != from)
                send(from, to, [this, to, from] { receive(to, from); });
    }

    void answer(std::size_t by, std::size_t to)
    {
        const bool considered_dead =
            nodes_[by].members.is_dead(make_member(to).name);
        receive(by, to);
        send(by, to, [this, by, to, considered_dead] {
            receive(to, by);
            if (considered_dead)
                send_heartbeat(to);
        });
    }

    void apply(std::size_t from, const std::vector<detector_action>& actions)
    {
        for (const auto& each : actions) {
            if (const auto* probe = std::get_if<send_probe>(&each)) {
                const auto to = index_of(probe->to.name);
                send(from, to, [this, from, to] { answer(to, from); });
            } else if (const auto* suspicion =
                           std::get_if<send_suspicion>(&each)) {
                for (const auto& helper : suspicion->to)
                    send_suspicion_to(from, index_of(helper.name), *suspicion);
            } else {
                send_death_to_all(from, std::get<broadcast_death>(each));
            }
        }
    }

    void send_suspicion_to(std::size_t from, std::size_t to,
                           const send_suspicion& what)
    {
        send(from, to, [this, from, to, what] {
            auto& each = nodes_[to];
            apply(to, each.detector.on_suspicion(what.about, what.incarnation,
                                                 make_member(from).name,
                                                 each.members, now_));
        });
    }

    void send_death_to_all(std::size_t from, const broadcast_death& what)
    {
        ++declarations_;
        for (std::size_t to = 0; to < nodes_.size(); ++to) {
            if (to == from)
                continue;
            send(from, to, [this, to, what] {
                if (index_of(what.about) == to)
                    send_heartbeat(to);
                else
                    nodes_[to].members.on_declared_dead(what.about,
                                                        what.incarnation, now_);
            });
        }
    }

    random_engine random_;
    std::vector<node> nodes_;
    std::priority_queue<event> events_;
    time_point now_ = start;
    std::size_t declarations_ = 0;
};

// Callers lose time on the address of a dead instance. Heartbeats from every
// member to every other detected a death after 3.4 to 4.4 s in fleets of more
// than 48 members.
TEST(FailureDetector, ADeadMemberIsFoundInTheSameTimeAtAnySize)
{
    for (const std::size_t size : {30u, 100u, 300u}) {
        duration sum{};
        duration longest{};
        constexpr int deaths = 15;
        fleet all(size);
        all.run_until(start + 2s);
        for (int i = 0; i < deaths; ++i) {
            const auto died = all.now();
            const auto which = static_cast<std::size_t>(i);
            all.stop(which);
            while (!all.is_dead_everywhere(which) && all.now() < died + 20s)
                all.run_until(all.now() + 50ms);
            sum += all.now() - died;
            longest = std::max(longest, all.now() - died);
        }
        EXPECT_LT(sum / deaths, 2500ms) << size;
        EXPECT_LT(longest, 4400ms) << size;
    }
}

TEST(FailureDetector, CostPerMemberDoesNotGrowWithTheFleet)
{
    constexpr duration observed = 20s;
    double small = 0;
    for (const std::size_t size : {30u, 100u, 300u, 1000u}) {
        fleet all(size);
        all.run_until(start + observed);
        const double each = static_cast<double>(all.messages()) /
                            (static_cast<double>(size) *
                             std::chrono::duration<double>(observed).count());
        if (small == 0)
            small = each;
        // One probe and one answer per interval, plus some overhead.
        EXPECT_LT(each, 5.5) << size;
        EXPECT_LT(each, 1.1 * small) << size;
        EXPECT_EQ(all.count_dead_views(), 0u) << size;
    }
}

TEST(FailureDetector, LostMessagesMakeNobodyDeadForLong)
{
    fleet all(60);
    all.loss = 0.05;
    std::size_t most = 0;
    for (int i = 0; i < 300; ++i) {
        all.run_until(all.now() + 100ms);
        most = std::max(most, all.count_dead_views());
    }
    // At any time about one member, in the tables of some of the others.
    EXPECT_LE(most, 60u);
    all.loss = 0;
    all.run_until(all.now() + 3s);
    EXPECT_EQ(all.count_dead_views(), 0u);
}

// A member that cannot receive hears from nobody, while all receive from it.
TEST(FailureDetector, AMemberThatIsCutOffOneWayDeclaresNobodyDead)
{
    fleet all(60);
    all.run_until(start + 2s);
    all.is_cut = [](std::size_t, std::size_t to) { return to == 7; };
    all.run_until(start + 12s);
    for (std::size_t i = 0; i < 60; ++i)
        if (i != 7)
            EXPECT_EQ(all.count_considering_dead(i), 0u) << i;
    // It answers no probe and is declared dead itself; nobody else is.
    EXPECT_LE(all.declarations(), 3u);
}

TEST(FailureDetector, AStalledMemberIsBackSoonAndDeclaresNobodyDead)
{
    fleet all(60);
    all.run_until(start + 2s);
    all.stop(3);
    all.run_until(start + 8s);
    EXPECT_TRUE(all.is_dead_everywhere(3));
    all.resume(3);
    all.run_until(start + 8s + 300ms);
    EXPECT_EQ(all.count_dead_views(), 0u);
}

// A third of the fleet is cut off, such as one data centre.
TEST(FailureDetector, BothSidesOfAPartitionFindEachOtherAgain)
{
    fleet all(60);
    all.run_until(start + 2s);
    all.is_cut = [](std::size_t from, std::size_t to) {
        return (from < 20) != (to < 20);
    };
    all.run_until(start + 20s);
    EXPECT_EQ(all.count_considering_dead(0), 40u);
    EXPECT_EQ(all.count_considering_dead(59), 20u);
    all.is_cut = [](auto, auto) { return false; };
    all.run_until(start + 30s);
    EXPECT_EQ(all.count_dead_views(), 0u);
}

TEST(FailureDetector, ALossOfHalfTheFleetIsFoundByTheOtherHalf)
{
    fleet all(100);
    all.run_until(start + 2s);
    for (std::size_t i = 0; i < 50; ++i)
        all.stop(i);
    all.run_until(start + 12s);
    for (std::size_t i = 0; i < 50; ++i)
        EXPECT_TRUE(all.is_dead_everywhere(i)) << i;
    EXPECT_EQ(all.count_considering_dead(99), 0u);
}

// Shows what `suspicion_quorum` prevents: with a quorum of one, a member that
// cannot receive declares live members dead.
TEST(FailureDetector, AQuorumOfOneWouldDeclareLiveMembersDead)
{
    fleet all(60, {.suspicion_quorum = 1});
    all.run_until(start + 2s);
    all.is_cut = [](std::size_t, std::size_t to) { return to == 7; };
    all.run_until(start + 12s);
    EXPECT_GT(all.declarations(), 5u);
}

// Shows what `stall_limit` prevents: a process that was stalled suspects a
// member whose answer it has not read yet.
TEST(FailureDetector, AStalledProcessWouldSuspectAMemberThatHasAnswered)
{
    detector_settings no_stall_limit;
    no_stall_limit.stall_limit = 1h;
    const auto count_suspicions = [](const detector_settings& settings) {
        member_table members(make_member(0));
        failure_detector detector(settings, random_engine(3));
        for (std::size_t i = 1; i < 40; ++i) {
            members.on_identity(make_member(i), start);
            member_heartbeat heartbeat;
            heartbeat.name = make_member(i).name;
            heartbeat.incarnation = "1";
            heartbeat.is_probed = true;
            members.on_heartbeat(heartbeat, start);
        }
        detector.advance(members, start + 1s);
        const auto actions = detector.advance(members, start + 5s);
        return std::ranges::count_if(actions, [](const auto& each) {
            return std::holds_alternative<send_suspicion>(each);
        });
    };
    EXPECT_EQ(count_suspicions({}), 0);
    EXPECT_EQ(count_suspicions(no_stall_limit), 1);
}

} // namespace
