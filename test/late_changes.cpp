/// Simulates a fleet in virtual time and measures how late its members learn of
/// changes that readers read from the store. Links lose datagrams and have a
/// limited bandwidth; readers and delegates are frozen, killed or cut off in
/// one direction. The other members cannot read the store themselves.
///
/// Guards against changes that arrive too late at some members because
/// datagrams were lost, which happens without any one of the `features`.

#include "peers/gap_repair.hpp"
#include "state/revision_clock.hpp"
#include "state/state_table.hpp"

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <queue>

using namespace vanillapost;
using namespace vanillapost::router;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};
constexpr duration feed_interval = 150ms;
constexpr duration probe_interval = 400ms;
constexpr duration reader_heartbeat = 250ms;
constexpr std::size_t heartbeat_bytes = 160;
constexpr std::size_t datagram_bytes = 1200;
constexpr std::size_t row_bytes = 260;
constexpr double link_bytes_per_second = 2.5e6;
constexpr duration max_link_queue = 200ms;
constexpr std::size_t readers = 3;
constexpr int targets = 900;

using shared_difference = std::shared_ptr<const state_difference>;

/// Mechanisms of the members. Without any one of them, members behave as in
/// earlier versions, in which changes arrived too late.
struct features
{
    bool apply_across_gaps = true;
    bool request_lost_parts = true;
    bool distribute_large_changes = true;
};

struct scenario
{
    features enabled;
    std::size_t members = 30;
    double loss = 0;
    int rows_per_second = 300;
    int burst_rows = 0; ///< written at once, in the middle of the run
    std::size_t frozen = 0;
    std::size_t killed = 0;
    std::size_t inbound_cut = 0; ///< receive nothing for a while
    std::size_t restarted_in_turn = 0;
    duration run_time = 5s;
    std::uint64_t seed = 1;
};

struct outcome
{
    duration worst_delay{};
    double messages_per_second = 0; ///< of the busiest member
    double bytes_per_second = 0;    ///< of the busiest member
};

/// Simulates the members and the network between them.
class fleet
{
public:
    explicit fleet(const scenario& setup)
        : scenario_(setup), random_(setup.seed), nodes_(setup.members)
    {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            nodes_[i].known_revisions.resize(nodes_.size());
            nodes_[i].repairer = gap_repair(random_engine(scenario_.seed, i));
            start_node(i);
        }
        inject_faults();
        at(start, [this] { write_changes(); });
        if (scenario_.burst_rows > 0)
            at(start + scenario_.run_time / 2, [this] { write_burst(); });
    }

    outcome simulate()
    {
        // The last changes get time to arrive.
        const auto end = start + scenario_.run_time + 3s;
        while (!events_.empty() && events_.top().when <= end) {
            const auto event = events_.top();
            events_.pop();
            now_ = event.when;
            event.run();
        }
        now_ = end;
        return evaluate();
    }

private:
    struct node
    {
        state_table table;
        std::vector<std::uint64_t> known_revisions; ///< of the other members
        std::uint64_t read_revision = 0;            ///< from the store
        time_point link_free{};
        bool runs = true;
        bool receives = true;
        bool has_faults = false; ///< at some time; its delays do not count
        bool state_request_pending = false;
        revision_clock clock;
        bool repair_scheduled = false;
        gap_repair repairer{random_engine(1)};
        repair_budget budget;
        std::vector<std::function<void()>>
            buffered; ///< received while it is frozen
        std::vector<time_point> large_answers;
        double messages = 0;
        double bytes = 0;
        std::vector<duration> delays; ///< of each departure
    };

    struct event
    {
        time_point when;
        std::uint64_t number;
        std::function<void()> run;

        bool operator<(const event& other) const
        {
            return std::tie(when, number) > std::tie(other.when, other.number);
        }
    };

    struct departure
    {
        std::string key;
        time_point acknowledged;
    };

    void at(time_point when, std::function<void()> run)
    {
        events_.push({when, ++events_made_, std::move(run)});
    }

    duration draw(duration below)
    {
        return duration(static_cast<std::int64_t>(random_()) % below.count());
    }

    bool is_lost()
    {
        return draw_share(random_) < scenario_.loss;
    }

    std::size_t data_centre(std::size_t node) const
    {
        return node % (scenario_.members < 25 ? 3 : 5);
    }

    bool is_reader(std::size_t node) const
    {
        return node < readers;
    }

    // -- the store ---------------------------------------------------------

    void write_changes()
    {
        for (int i = 0; i < scenario_.rows_per_second / 100; ++i)
            write("t" + std::to_string(random_() % targets));
        if (++ticks_ % 10 == 0) {
            departures_.push_back({"leaving-" + std::to_string(ticks_), now_});
            write(departures_.back().key);
        }
        if (now_ < start + scenario_.run_time)
            at(now_ + 10ms, [this] { write_changes(); });
    }

    void write_burst()
    {
        for (int i = 0; i < scenario_.burst_rows; ++i)
            write("t" + std::to_string(i % targets));
    }

    void write(const std::string& key)
    {
        rows_.push_back({key, std::string(row_bytes, 'x'), ++revision_, false});
    }

    // The newest row of each key that changed after a revision, in order.
    state_difference changes_after(std::uint64_t after) const
    {
        std::map<std::string, io::store_row> newest;
        for (auto row = rows_.begin() + static_cast<std::ptrdiff_t>(after);
             row != rows_.end(); ++row)
            newest[row->key] = *row;
        state_difference result{after, revision_, false, false, {}};
        for (auto& [key, row] : newest)
            result.rows.push_back(std::move(row));
        std::ranges::sort(result.rows, {}, &io::store_row::revision);
        return result;
    }

    // -- periodic work of a member -----------------------------------------

    void start_node(std::size_t i)
    {
        nodes_[i].table.apply({0, 1, true, false, {}}, now_);
        nodes_[i].read_revision = 1;
        if (revision_ == 0)
            write("first");
        at(start + draw(probe_interval), [this, i] { probe(i); });
        if (!is_reader(i))
            return;
        at(start + draw(feed_interval), [this, i] { read_store(i); });
        at(start + draw(reader_heartbeat),
           [this, i] { broadcast_heartbeat(i); });
    }

    void probe(std::size_t i)
    {
        at(now_ + probe_interval, [this, i] { probe(i); });
        const auto to = random_() % nodes_.size();
        if (!nodes_[i].runs || to == i)
            return;
        send_heartbeat(i, to, [this, i, to] { send_heartbeat(to, i, [] {}); });
    }

    void broadcast_heartbeat(std::size_t i)
    {
        at(now_ + reader_heartbeat, [this, i] { broadcast_heartbeat(i); });
        for (std::size_t to = 0; to < nodes_.size(); ++to)
            if (to != i)
                send_heartbeat(i, to, [] {});
    }

    void send_heartbeat(std::size_t from, std::size_t to,
                        const std::function<void()>& then)
    {
        const auto revision = nodes_[from].table.revision();
        send(from, to, heartbeat_bytes, [this, from, to, revision, then] {
            auto& known = nodes_[to].known_revisions[from];
            known = std::max(known, revision);
            then();
            on_heartbeat(to);
        });
    }

    void read_store(std::size_t i)
    {
        at(now_ + feed_interval, [this, i] { read_store(i); });
        auto& self = nodes_[i];
        if (!self.runs || self.read_revision == revision_)
            return;
        auto read = changes_after(self.read_revision);
        self.read_revision = revision_;
        apply_part(i, read);
        distribute(i, read);
    }

    // -- distribution of changes -------------------------------------------

    void distribute(std::size_t i, const state_difference& read)
    {
        constexpr std::size_t max_parts = 64;
        constexpr std::size_t large_change = 16;
        auto parts = split(read, datagram_bytes);
        const bool is_large = parts.size() > large_change;
        if (!scenario_.enabled.distribute_large_changes &&
            parts.size() > max_parts)
            return;
        if (is_large)
            std::ranges::shuffle(parts, random_);
        auto when = now_;
        for (const auto& each : parts) {
            const auto part = std::make_shared<const state_difference>(each);
            at(when, [this, i, part, is_large] {
                send_to_delegates(i, part, is_large ? 1 : 2);
            });
            if (is_large)
                when += 5ms;
        }
    }

    void send_to_delegates(std::size_t i, const shared_difference& part,
                           int delegates_wanted)
    {
        if (scenario_.members < 25) {
            for (std::size_t to = 0; to < nodes_.size(); ++to)
                send_part(i, to, part, false);
            return;
        }
        for (const auto to : delegates(delegates_wanted))
            send_part(i, to, part, true);
    }

    // Random members of each data centre.
    std::vector<std::size_t> delegates(int count)
    {
        constexpr std::size_t centres = 5;
        std::vector<std::size_t> result;
        const auto per_centre = nodes_.size() / centres;
        for (std::size_t centre = 0; centre < centres; ++centre)
            for (int i = 0; i < count; ++i)
                result.push_back(centre + centres * (random_() % per_centre));
        return result;
    }

    void send_part(std::size_t from, std::size_t to,
                   const shared_difference& part, bool delegate)
    {
        if (from == to)
            return;
        send(from, to, datagram_bytes, [this, to, part, delegate] {
            const bool is_new = apply_part(to, *part);
            if (!delegate || !is_new)
                return;
            for (std::size_t next = 0; next < nodes_.size(); ++next)
                if (data_centre(next) == data_centre(to))
                    send_part(to, next, part, false);
        });
    }

    bool apply_part(std::size_t i, const state_difference& part)
    {
        auto& self = nodes_[i];
        self.clock.note(part.revision, now_);
        if (!scenario_.enabled.apply_across_gaps && !self.table.follows(part))
            return false;
        const auto changed = self.table.apply(part, now_);
        record_delays(self, changed);
        look_for_gaps(i);
        return !changed.empty();
    }

    void record_delays(node& self, const std::vector<io::store_row>& changed)
    {
        self.delays.resize(departures_.size(), duration::max());
        for (const auto& row : changed)
            for (auto i = departures_.size(); i-- > 0;)
                if (departures_[i].key == row.key)
                    self.delays[i] = now_ - departures_[i].acknowledged;
    }

    // -- requests for lost changes -----------------------------------------

    void look_for_gaps(std::size_t i)
    {
        auto& self = nodes_[i];
        const bool missing = !self.table.gaps(self.clock.newest()).empty();
        if (scenario_.enabled.request_lost_parts && missing &&
            !std::exchange(self.repair_scheduled, true))
            request_repair(i);
    }

    void request_repair(std::size_t i)
    {
        auto& self = nodes_[i];
        auto gaps = self.table.gaps(self.clock.newest());
        self.repair_scheduled = !gaps.empty();
        if (self.repair_scheduled)
            at(now_ + 10ms, [this, i] { request_repair(i); });
        if (!self.runs)
            return;
        const bool due = self.repair_scheduled && now_ >= self.repairer.due();
        const auto peer = self.repairer.next(
            gaps, member_of(i),
            due ? live_members(i) : std::span<const peer_status>{},
            [](const auto& each) { return each.heartbeat.revisions.targets; },
            now_);
        if (!peer)
            return;
        if (gaps.size() > gap_repair::max_spans)
            gaps.resize(gap_repair::max_spans);
        const auto to = std::stoul(peer->name.value);
        send(i, to, heartbeat_bytes,
             [this, i, to, gaps] { answer_repair_request(to, i, gaps); });
    }

    void answer_repair_request(std::size_t i, std::size_t asker,
                               const std::vector<revision_span>& gaps)
    {
        std::vector<state_difference> parts;
        for (const auto& known : nodes_[i].table.changes_within(gaps)) {
            const auto cut = split(known, datagram_bytes);
            parts.insert(parts.end(), cut.begin(), cut.end());
            if (cut.empty())
                parts.push_back(known);
        }
        const auto count = nodes_[i].budget.take(parts.size(), now_);
        for (std::size_t each = 0; each < count; ++each)
            send_part(i, asker,
                      std::make_shared<const state_difference>(parts[each]),
                      false);
    }

    member member_of(std::size_t i) const
    {
        member result;
        result.name.value = std::to_string(i);
        result.data_centre.value = std::to_string(data_centre(i));
        return result;
    }

    // Contains the member itself, too: a request to itself gets no answer.
    std::span<const peer_status> live_members(std::size_t i)
    {
        if (members_.empty())
            for (std::size_t peer = 0; peer < nodes_.size(); ++peer)
                members_.push_back({member_of(peer), {}, {}});
        for (std::size_t peer = 0; peer < nodes_.size(); ++peer)
            members_[peer].heartbeat.revisions.targets =
                nodes_[i].known_revisions[peer];
        return members_;
    }

    // -- requests for all missing changes ----------------------------------

    void on_heartbeat(std::size_t i)
    {
        auto& self = nodes_[i];
        const auto newest = *std::ranges::max_element(self.known_revisions);
        self.clock.note(newest, now_);
        look_for_gaps(i);
        if (newest <= self.table.revision() ||
            std::exchange(self.state_request_pending, true))
            return;
        at(now_ + (scenario_.enabled.request_lost_parts ? 100ms : 40ms),
           [this, i] { request_state(i); });
    }

    void request_state(std::size_t i)
    {
        auto& self = nodes_[i];
        std::vector<std::size_t> ahead;
        for (std::size_t peer = 0; peer < nodes_.size(); ++peer)
            if (self.known_revisions[peer] > self.table.revision())
                ahead.push_back(peer);
        const auto since = self.clock.missing_since(self.table.revision());
        const bool is_due = !scenario_.enabled.request_lost_parts ||
                            (since && now_ - *since >= 2s);
        self.state_request_pending = !ahead.empty() && is_due;
        if (!self.state_request_pending)
            return;
        const auto peer = ahead[random_() % ahead.size()];
        const auto request = ++requests_made_;
        open_state_request(i, request);
        send_reliably(i, peer, heartbeat_bytes, [this, i, peer, request] {
            answer_state_request(peer, i, request);
        });
    }

    void open_state_request(std::size_t i, std::uint64_t request)
    {
        open_requests_.insert(request);
        at(now_ + 800ms,
           [this, i, request] { end_state_request(i, request, true); });
    }

    void end_state_request(std::size_t i, std::uint64_t request, bool retry)
    {
        if (open_requests_.erase(request) == 0)
            return;
        if (retry) {
            at(now_ + 200ms, [this, i] { request_state(i); });
            return;
        }
        nodes_[i].state_request_pending = false;
        on_heartbeat(i);
    }

    void answer_state_request(std::size_t i, std::size_t asker,
                              std::uint64_t request)
    {
        constexpr std::size_t small_answer_bytes = std::size_t{32} * 1024;
        auto& self = nodes_[i];
        const auto response = std::make_shared<const state_difference>(
            self.table.since(nodes_[asker].table.revision()));
        const auto bytes = response->rows.size() * (row_bytes + 40);
        std::erase_if(self.large_answers,
                      [&](auto when) { return now_ - when > 400ms; });
        const bool busy =
            bytes > small_answer_bytes && self.large_answers.size() >= 4;
        if (bytes > small_answer_bytes && !busy)
            self.large_answers.push_back(now_);
        send_reliably(i, asker, busy ? heartbeat_bytes : bytes,
                      [this, asker, response, request, busy] {
                          if (!open_requests_.contains(request))
                              return;
                          if (!busy)
                              apply_part(asker, *response);
                          end_state_request(asker, request, busy);
                      });
    }

    // -- links -------------------------------------------------------------

    time_point transmit(node& from, std::size_t bytes)
    {
        from.link_free =
            std::max(from.link_free, now_) +
            duration(static_cast<std::int64_t>(static_cast<double>(bytes) /
                                               link_bytes_per_second * 1e6));
        from.bytes += static_cast<double>(bytes);
        ++from.messages;
        return from.link_free;
    }

    duration delay(std::size_t from, std::size_t to) const
    {
        return data_centre(from) == data_centre(to) ? 300us : 800us;
    }

    /// Sends a datagram, which may be lost.
    void send(std::size_t from, std::size_t to, std::size_t bytes,
              std::function<void()> run)
    {
        auto& sender = nodes_[from];
        if (!sender.runs || sender.link_free > now_ + max_link_queue)
            return;
        const auto sent = transmit(sender, bytes);
        if (!is_lost())
            at(sent + delay(from, to),
               [this, to, run = std::move(run)] { arrive(to, run); });
    }

    void arrive(std::size_t to, const std::function<void()>& run)
    {
        constexpr std::size_t socket_buffer = 150;
        auto& receiver = nodes_[to];
        if (!receiver.receives)
            return;
        if (receiver.runs)
            run();
        else if (receiver.buffered.size() < socket_buffer)
            receiver.buffered.push_back(run);
    }

    /// Sends a message on a connection: lost segments are sent again.
    void send_reliably(std::size_t from, std::size_t to, std::size_t bytes,
                       std::function<void()> run)
    {
        constexpr std::size_t segment_bytes = 1400;
        auto sent = transmit(nodes_[from], bytes);
        for (std::size_t i = 0; i <= bytes / segment_bytes; ++i)
            if (is_lost())
                sent += 20ms;
        at(sent + delay(from, to) * 3, [this, from, to, run = std::move(run)] {
            if (nodes_[from].runs)
                arrive(to, run);
        });
    }

    // -- faults ------------------------------------------------------------

    // The first reader has no fault. The other readers are affected first, then
    // further members.
    void inject_faults()
    {
        std::size_t next = 1;
        for (std::size_t i = 0; i < scenario_.frozen; ++i)
            suspend(next++, start + 1s + draw(1s), 1s + draw(1s));
        for (std::size_t i = 0; i < scenario_.killed; ++i)
            suspend(next++, start + 1s + draw(2s), 1h);
        for (std::size_t i = 0; i < scenario_.inbound_cut; ++i) {
            auto& each = nodes_[next++];
            each.has_faults = true;
            at(start + 1s, [&each] { each.receives = false; });
            at(start + 3s, [&each] { each.receives = true; });
        }
        for (std::size_t i = 0; i < scenario_.restarted_in_turn; ++i)
            suspend(next++, start + 500ms + i * 100ms, 300ms);
    }

    void suspend(std::size_t i, time_point when, duration length)
    {
        nodes_[i].has_faults = true;
        at(when, [this, i] { nodes_[i].runs = false; });
        at(when + length, [this, i] {
            nodes_[i].runs = true;
            for (const auto& run : std::exchange(nodes_[i].buffered, {}))
                run();
        });
    }

    outcome evaluate()
    {
        outcome result;
        const auto seconds =
            std::chrono::duration<double>(now_ - start).count();
        for (auto& each : nodes_) {
            result.messages_per_second =
                std::max(result.messages_per_second, each.messages / seconds);
            result.bytes_per_second =
                std::max(result.bytes_per_second, each.bytes / seconds);
            if (each.has_faults)
                continue;
            each.delays.resize(departures_.size(), duration::max());
            for (const auto delay : each.delays)
                result.worst_delay = std::max(result.worst_delay, delay);
        }
        return result;
    }

    scenario scenario_;
    random_engine random_;
    std::vector<node> nodes_;
    std::priority_queue<event> events_;
    std::uint64_t events_made_ = 0;
    time_point now_ = start;
    std::vector<io::store_row> rows_; ///< one for each revision
    std::uint64_t revision_ = 0;
    std::vector<departure> departures_;
    int ticks_ = 0;
    std::uint64_t requests_made_ = 0;
    std::set<std::uint64_t> open_requests_;
    std::vector<peer_status> members_;
};

/// Half of the time for which a leaving target continues to serve requests, in
/// deployments with a fleet of that size.
duration delay_limit(std::size_t members)
{
    return members < 25 ? 1000ms : members < 100 ? 1250ms : 1500ms;
}

struct size_and_loss
{
    std::size_t members;
    double loss;
};

scenario with_seed(scenario setup, std::uint64_t seed)
{
    setup.seed = seed;
    return setup;
}

class LateChanges : public testing::TestWithParam<size_and_loss>
{
protected:
    /// A fleet of the size and with the losses of the test's parameter.
    static scenario default_scenario()
    {
        scenario result;
        result.members = GetParam().members;
        result.loss = GetParam().loss;
        return result;
    }

    static void expect_in_time(const scenario& setup)
    {
        // One seed of the largest fleet takes minutes.
        const std::uint64_t seeds = setup.members > 500 ? 1 : 2;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto measured = fleet(with_seed(setup, seed)).simulate();
            std::printf("worst %lld ms, busiest member %.0f messages, %.0f "
                        "kB a second\n",
                        static_cast<long long>(measured.worst_delay / 1ms),
                        measured.messages_per_second,
                        measured.bytes_per_second / 1e3);
            EXPECT_LE(measured.worst_delay, delay_limit(setup.members))
                << "seed " << seed;
            EXPECT_LE(measured.messages_per_second,
                      6.0 * static_cast<double>(setup.members) + 1100);
        }
    }
};

TEST_P(LateChanges, ComeInTimeOverLinksThatLoseDatagrams)
{
    expect_in_time(default_scenario());
}

TEST_P(LateChanges, ComeInTimeInABurst)
{
    auto setup = default_scenario();
    setup.burst_rows = 900;
    expect_in_time(setup);
}

TEST_P(LateChanges, ComeInTimeWhileReadersAndDelegatesAreFrozenAndKilled)
{
    auto setup = default_scenario();
    setup.frozen = std::max<std::size_t>(1, setup.members / 10);
    setup.killed = std::max<std::size_t>(1, setup.members / 20);
    setup.inbound_cut = std::max<std::size_t>(1, setup.members / 10);
    expect_in_time(setup);
}

TEST_P(LateChanges, ComeInTimeWhileMembersRestartInSeries)
{
    auto setup = default_scenario();
    setup.restarted_in_turn = setup.members / 3;
    expect_in_time(setup);
}

/// The longest delay in a large fleet that lacks one of the features.
duration worst_without(bool features::*feature, double loss, int burst_rows)
{
    scenario setup;
    setup.members = 189;
    setup.loss = loss;
    setup.burst_rows = burst_rows;
    setup.enabled.*feature = false;
    return fleet(setup).simulate().worst_delay;
}

TEST(LateChangesWithout, RowsAppliedAcrossGapsComeLate)
{
    EXPECT_GT(worst_without(&features::apply_across_gaps, 0.1, 0),
              delay_limit(189));
}

TEST(LateChangesWithout, QuestionsForWhatWasLostComeLate)
{
    EXPECT_GT(worst_without(&features::request_lost_parts, 0.33, 0),
              delay_limit(189));
}

TEST(LateChangesWithout, LargeChangesBeingPassedOnComeLate)
{
    EXPECT_GT(worst_without(&features::distribute_large_changes, 0.33, 900),
              delay_limit(189));
}

INSTANTIATE_TEST_SUITE_P(
    Sizes, LateChanges,
    testing::Values(size_and_loss{6, 0.1}, size_and_loss{6, 0.33},
                    size_and_loss{30, 0.1}, size_and_loss{30, 0.33},
                    size_and_loss{189, 0.1}, size_and_loss{189, 0.33},
                    size_and_loss{528, 0.1}, size_and_loss{528, 0.33}),
    [](const auto& each) {
        return std::to_string(each.param.members) + "MembersThatLose" +
               std::to_string(static_cast<int>(each.param.loss * 100)) +
               "In100";
    });

} // namespace
