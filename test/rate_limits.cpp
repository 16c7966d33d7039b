#include "vanillapost/base.hpp"
#include "vanillapost/placement.hpp"
#include "vanillapost/targets.hpp"

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <rapidcheck/gtest.h>

using namespace vanillapost;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};
const target_id target{"t"};
const service_id service{"s"};
constexpr std::int64_t start_unix_ms = 5;

versioned_rate_limit make_limit(std::uint64_t version,
                                std::optional<double> rate,
                                std::int64_t of = start_unix_ms)
{
    return {target, of, version, rate};
}

TEST(RateLimits, ALimitHoldsUntilItsStartSaysOtherwise)
{
    rate_limits limits;
    EXPECT_EQ(limits.on_announced(target, start_unix_ms, {}, start, start),
              rate_limit_change::none);
    EXPECT_EQ(limits.size(), 0u);
    EXPECT_EQ(limits.on_announced(target, start_unix_ms, 2.5, start, start),
              rate_limit_change::named);
    EXPECT_EQ(
        limits.on_announced(target, start_unix_ms, 2.5, start, start + 1s),
        rate_limit_change::none);
    EXPECT_EQ(
        limits.on_announced(target, start_unix_ms, 2.0, start + 1s, start + 1s),
        rate_limit_change::changed);
    EXPECT_EQ(limits.find(target, start_unix_ms), 2.0);
    EXPECT_EQ(
        limits.on_announced(target, start_unix_ms, {}, start + 2s, start + 3s),
        rate_limit_change::ended);
    EXPECT_EQ(limits.find(target, start_unix_ms), std::nullopt);
}

// Such a request was sent, and perhaps answered, before the target announced
// the limit.
TEST(RateLimits, AnAnswerToAnEarlierRequestDoesNotEndALimit)
{
    rate_limits limits;
    limits.on_announced(target, start_unix_ms, 2.0, start, start + 1s);
    EXPECT_EQ(limits.on_announced(target, start_unix_ms, {}, start + 500ms,
                                  start + 2s),
              rate_limit_change::none);
    EXPECT_EQ(limits.find(target, start_unix_ms), 2.0);
}

TEST(RateLimits, ALimitIsOfOneStart)
{
    rate_limits limits;
    limits.on_announced(target, start_unix_ms, 2.0, start, start);
    EXPECT_EQ(limits.find(target, start_unix_ms + 1), std::nullopt);
    EXPECT_EQ(limits.on_announced(target, start_unix_ms + 1, 3.0, start, start),
              rate_limit_change::named);
    EXPECT_EQ(limits.on_announced(target, start_unix_ms, 1.0, start, start),
              rate_limit_change::none);
    EXPECT_FALSE(limits.merge(make_limit(99, 1.0), start));
    EXPECT_EQ(limits.find(target, start_unix_ms + 1), 3.0);
}

TEST(RateLimits, PeersAreToldThatALimitHasEndedForAWhile)
{
    rate_limits limits;
    limits.on_announced(target, start_unix_ms, 2.0, start, start);
    limits.on_announced(target, start_unix_ms, {}, start + 1s, start + 1s);
    EXPECT_EQ(limits.next_batch(600, start + 2s),
              std::vector{make_limit(2, {})});
    const auto later = start + 1s + rate_limits::tombstone_lifetime;
    EXPECT_TRUE(limits.next_batch(600, later).empty());
    EXPECT_EQ(limits.size(), 0u);
}

TEST(RateLimits, AllAreSentInTurnWithinTheSizeOfAMessage)
{
    rate_limits limits;
    for (int i = 0; i < 50; ++i)
        limits.on_announced({"t" + std::to_string(i)}, start_unix_ms, 1.0 + i,
                            start, start);
    std::map<target_id, int> returned;
    for (int i = 0; i < 10; ++i)
        for (const auto& limit : limits.next_batch(200, start))
            ++returned[limit.target];
    EXPECT_EQ(returned.size(), 50u);
    // A limit that is larger than a message is returned nevertheless.
    rate_limits one;
    one.on_announced({std::string(200, 'x')}, start_unix_ms, 1, start, start);
    EXPECT_EQ(one.next_batch(100, start).size(), 1u);
}

TEST(RateLimits, LimitsAreBounded)
{
    rate_limits limits;
    for (std::size_t i = 0; i < rate_limits::max_targets + 5; ++i)
        limits.on_announced({std::to_string(i)}, static_cast<std::int64_t>(i),
                            1, start, start);
    EXPECT_EQ(limits.size(), rate_limits::max_targets);
    EXPECT_EQ(limits.find({"0"}, 0), std::nullopt);
}

// Messages may be lost, late, duplicated and reordered.
RC_GTEST_PROP(RateLimits, LimitsFromPeersMergeToTheSameInAnyOrder, ())
{
    std::vector<versioned_rate_limit> received;
    const auto count = *rc::gen::inRange(1, 8);
    for (int i = 0; i < count; ++i) {
        const auto version = *rc::gen::inRange<std::uint64_t>(1, 4);
        const auto rate = *rc::gen::inRange(0, 4);
        const auto of = *rc::gen::inRange<std::int64_t>(1, 3);
        received.push_back(make_limit(
            version, rate == 0 ? std::nullopt : std::optional<double>(rate),
            of));
    }
    const auto outcome = [&] {
        rate_limits limits;
        for (const auto& each : received)
            limits.merge(each, start);
        return *limits.find_versioned(target);
    };
    const auto first = outcome();
    std::reverse(received.begin(), received.end());
    RC_ASSERT(outcome() == first);
    received.insert(received.begin(), received.back());
    std::rotate(received.begin(), received.begin() + count / 2, received.end());
    RC_ASSERT(outcome() == first);
}

TEST(VersionedRateLimit, IsReadAsItWasWritten)
{
    for (const auto& limit : {make_limit(3, 2.75), make_limit(1, {})})
        EXPECT_EQ(parse_versioned_rate_limit(to_json(limit)), limit);
}

TEST(VersionedRateLimit, RefusesWhatMakesNoSense)
{
    for (const auto* text :
         {"null", "[]", "{}", R"(["t",5,1])", R"([1,5,1,2])", R"(["t",-5,1,2])",
          R"(["t",5.5,1,2])", R"(["t",5,-1,2])", R"(["t",5,1,-2])",
          R"(["t",5,1,1e300])", R"(["t",5,1,"2"])", R"(["",5,1,2])",
          R"(["t",18446744073709551615,1,2])", R"(["t",5,1,2,3])"})
        EXPECT_THROW(parse_versioned_rate_limit(nlohmann::json::parse(text)),
                     error)
            << text;
}

listed_target make_target(const target_id& id)
{
    listed_target made;
    made.id = id;
    made.service = service;
    made.address = "127.0.0.1:1";
    made.data_centre = {"d0"};
    made.slots = 100;
    made.start_unix_ms = start_unix_ms;
    return made;
}

/// The parts of one instance that decide whether it sends a request.
struct instance
{
    owner_candidate self;
    target_catalog catalog;
    target_placer placer;
    bool up = true;
    time_point up_since{};
    time_point next_request{};
    time_point next_probe{};

    explicit instance(const owner_candidate& who)
        : self(who), placer({.data_centre = who.data_centre, .self = who.name},
                            random_engine(1))
    {
        catalog.put(make_target(target));
        placer.update(catalog, {}, start);
    }

    void on_response(std::optional<double> rate, time_point sent_at,
                     time_point now)
    {
        catalog.on_rate_limit_announced(target, start_unix_ms, rate, sent_at,
                                        now);
        placer.refresh(target, catalog, now);
    }

    bool on_gossip(const versioned_rate_limit& limit, time_point now)
    {
        const bool is_new = catalog.on_rate_limit_relayed(limit, now);
        if (is_new)
            placer.refresh(target, catalog, now);
        return is_new;
    }

    bool may_send(time_point now)
    {
        placement_request request;
        request.service = service;
        request.expected_work = 50ms;
        return std::holds_alternative<place_on>(
            placer.choose(request, {false, 0ms}, now));
    }
};

struct fleet_settings
{
    std::size_t size = 6;
    double limit = 2.5;
    double loss = 0;         ///< share of messages between instances
    duration restarts{};     ///< time between restarts; zero: none
    duration pause = 200ms;  ///< mean time between requests of an instance
    bool gossips = true;     ///< off: limits are not sent to peers
    bool shares_rate = true; ///< off: each instance assumes to be alone
};

/// Simulates, in virtual time, instances with more requests than the rate limit
/// of a target allows.
class fleet
{
public:
    fleet(const fleet_settings& settings, std::uint64_t seed)
        : settings_(settings), random_(seed)
    {
        for (std::size_t i = 0; i < settings.size; ++i) {
            members_.push_back(
                {{"m" + std::to_string(i)}, {"d" + std::to_string(i % 5)}});
            instances_.push_back(std::make_unique<instance>(members_[i]));
            instances_[i]->next_request =
                start + random_duration(settings.pause);
        }
        for (std::size_t i = 0; i < settings.size; ++i)
            update_view(i);
    }

    void run(duration length)
    {
        auto restart_at = start + settings_.restarts;
        for (now_ = start; now_ < start + length; now_ += 5ms) {
            run_due_actions();
            if (settings_.restarts > duration::zero() && now_ >= restart_at) {
                restart_at = now_ + settings_.restarts;
                restart(random_(static_cast<std::uint32_t>(settings_.size)));
            }
            for (std::size_t i = 0; i < instances_.size(); ++i)
                step(i);
        }
    }

    /// The most requests in any four seconds, from one second after the start,
    /// when all instances can know the limit.
    std::size_t peak_requests() const
    {
        const auto known = start + 1s;
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t i = 0; i < sent_.size(); ++i) {
            while (sent_[first] < known || sent_[first] <= sent_[i] - 4s) {
                if (first == i)
                    break;
                ++first;
            }
            if (sent_[i] >= known)
                most = std::max(most, i + 1 - first);
        }
        return most;
    }

    double mean_rate() const
    {
        const auto counted = std::ranges::count_if(
            sent_, [](auto at) { return at >= start + 2s; });
        return static_cast<double>(counted) /
               std::chrono::duration<double>(now_ - start - 2s).count();
    }

    std::size_t uninformed() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(instances_, [this](const auto& each) {
                return each->up && now_ >= each->up_since + 1s &&
                       !each->catalog.limits().find(target, start_unix_ms);
            }));
    }

private:
    using action = std::function<void()>;

    duration random_duration(duration most)
    {
        return scaled(most, draw_share(random_));
    }

    void schedule(duration delay, action what)
    {
        actions_.emplace(now_ + delay, std::move(what));
    }

    void run_due_actions()
    {
        while (!actions_.empty() && actions_.begin()->first <= now_) {
            const auto what = std::move(actions_.begin()->second);
            actions_.erase(actions_.begin());
            what();
        }
    }

    // Passes an instance the members that it sees: all but those that are
    // hidden from it in `hidden_`.
    void update_view(std::size_t i)
    {
        if (!settings_.shares_rate) {
            instances_[i]->placer.set_members({members_[i]});
            return;
        }
        std::vector<owner_candidate> seen;
        for (std::size_t j = 0; j < members_.size(); ++j)
            if (j == i || !hidden_[{i, j}])
                seen.push_back(members_[j]);
        instances_[i]->placer.set_members(std::move(seen));
    }

    void send_limit(std::size_t from, std::size_t to)
    {
        if (!settings_.gossips || draw_share(random_) < settings_.loss)
            return;
        const auto limit =
            instances_[from]->catalog.limits().find_versioned(target);
        if (!limit)
            return;
        schedule(1ms + random_duration(20ms), [this, to, limit] {
            if (instances_[to]->up)
                instances_[to]->on_gossip(*limit, now_);
        });
    }

    void gossip(std::size_t i)
    {
        // Limits travel with the failure detector's probe and its answer, every
        // 0.4 s.
        const auto to = random_(static_cast<std::uint32_t>(settings_.size));
        if (!instances_[to]->up)
            return;
        send_limit(i, to);
        send_limit(to, i);
    }

    void step(std::size_t i)
    {
        auto& each = *instances_[i];
        if (!each.up)
            return;
        if (now_ >= each.next_probe) {
            each.next_probe = now_ + 400ms;
            gossip(i);
        }
        if (now_ < each.next_request)
            return;
        each.next_request =
            now_ + settings_.pause / 2 + random_duration(settings_.pause);
        if (!each.may_send(now_))
            return;
        sent_.push_back(now_);
        const auto sent_at = now_;
        schedule(30ms + random_duration(60ms),
                 [this, i, sent_at] { answer(i, sent_at); });
    }

    void answer(std::size_t i, time_point sent_at)
    {
        auto& each = *instances_[i];
        const bool was_known =
            each.catalog.limits().find(target, start_unix_ms).has_value();
        each.on_response(settings_.limit, sent_at, now_);
        if (was_known)
            return;
        for (std::size_t to = 0; to < instances_.size(); ++to)
            send_limit(i, to);
    }

    void restart(std::size_t i)
    {
        if (!instances_[i]->up)
            return;
        instances_[i] = std::make_unique<instance>(members_[i]);
        instances_[i]->up = false;
        for (std::size_t j = 0; j < instances_.size(); ++j) {
            hidden_[{i, j}] = true;
            schedule(random_duration(1800ms),
                     [this, i, j] { set_hidden(j, i, true); });
        }
        schedule(2s, [this, i] { rejoin(i); });
    }

    // A restarted instance knows only itself; then it and the others learn of
    // each other.
    void rejoin(std::size_t i)
    {
        instances_[i]->up = true;
        instances_[i]->up_since = now_;
        instances_[i]->next_request = now_ + 100ms;
        update_view(i);
        for (std::size_t j = 0; j < instances_.size(); ++j) {
            schedule(random_duration(600ms),
                     [this, i, j] { set_hidden(i, j, false); });
            schedule(random_duration(600ms),
                     [this, i, j] { set_hidden(j, i, false); });
        }
        // At its start an instance asks a peer for its state.
        send_limit(random_(static_cast<std::uint32_t>(settings_.size)), i);
    }

    void set_hidden(std::size_t viewer, std::size_t member, bool hidden)
    {
        if (viewer == member || hidden_[{viewer, member}] == hidden)
            return;
        hidden_[{viewer, member}] = hidden;
        update_view(viewer);
    }

    fleet_settings settings_;
    random_engine random_;
    std::vector<owner_candidate> members_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::map<std::pair<std::size_t, std::size_t>, bool> hidden_;
    std::multimap<time_point, action> actions_;
    std::vector<time_point> sent_;
    time_point now_ = start;
};

/// Requests that the requirements allow in four seconds.
double allowed(double limit)
{
    return 1.5 * limit * 4 + 5;
}

void expect_limit_kept(const fleet_settings& settings, std::uint64_t seed)
{
    fleet all(settings, seed);
    all.run(16s);
    EXPECT_LE(static_cast<double>(all.peak_requests()), allowed(settings.limit))
        << settings.size << " instances, seed " << seed << ", limit "
        << settings.limit;
    const double usable = std::max(settings.limit, 0.25);
    EXPECT_GT(all.mean_rate(), usable * 0.5) << settings.size;
    EXPECT_EQ(all.uninformed(), 0u) << settings.size << " seed " << seed;
}

TEST(RateLimitOfAFleet, BindsAllInstancesTogetherAtAnySize)
{
    for (const std::size_t size : {6, 30, 189, 528})
        for (const double limit : {0.6, 2.2, 7.5, 25.0})
            expect_limit_kept({.size = size, .limit = limit}, size);
}

TEST(RateLimitOfAFleet, BindsWhereNewsIsLost)
{
    for (const std::size_t size : {6, 30, 189, 528})
        for (std::uint64_t seed = 0; seed < (size < 100 ? 20 : 3); ++seed)
            expect_limit_kept({.size = size, .limit = 2.6, .loss = 0.3}, seed);
}

TEST(RateLimitOfAFleet, BindsOverRestartsInSeries)
{
    for (const std::size_t size : {6, 30, 189})
        for (std::uint64_t seed = 0; seed < (size < 100 ? 20 : 3); ++seed)
            expect_limit_kept({.size = size,
                               .limit = 2.6,
                               .loss = 0.1,
                               .restarts = size < 10 ? 1500ms : 300ms},
                              seed);
}

// The next two tests simulate instances that follow only the limit in
// responses: first without sharing the rate, then without telling peers.
TEST(RateLimitOfAFleet, IsBrokenWhereEachInstanceKeepsItByItself)
{
    for (const std::size_t size : {6, 189}) {
        fleet all({.size = size, .shares_rate = false}, 1);
        all.run(10s);
        EXPECT_GT(static_cast<double>(all.peak_requests()), allowed(2.5));
    }
}

TEST(RateLimitOfAFleet, IsBrokenAtSizeWhereOnlyThoseKnowWhoWereTold)
{
    // Each instance sends little, but together they exceed the limit by far.
    fleet_settings settings{.size = 189, .limit = 2.5, .pause = 8s};
    fleet kept(settings, 1);
    kept.run(10s);
    EXPECT_LE(static_cast<double>(kept.peak_requests()), allowed(2.5));
    settings.gossips = false;
    fleet broken(settings, 1);
    broken.run(10s);
    EXPECT_GT(static_cast<double>(broken.peak_requests()), allowed(2.5));
}

} // namespace
