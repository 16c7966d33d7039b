/// Requests under which targets end: the guilty one is held back, and those in
/// flight beside it are not.

#include "vanillapost/attempts.hpp"
#include "vanillapost/base.hpp"

#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

using namespace vanillapost;
using namespace std::chrono_literals;

namespace {

const time_point start{100s};

constexpr std::int64_t start_unix_ms = 5;
constexpr duration turn = 250ms;

void end_target(crash_suspects& suspects, const std::string& request,
                const std::string& target, time_point now,
                std::int64_t start_of_target = start_unix_ms)
{
    suspects.on_connection_lost(request, target, start_of_target, now);
    suspects.on_connection_refused(target, now + 2ms);
}

bool admits(crash_suspects& suspects, const std::string& request,
            time_point now)
{
    return suspects.admit(request, now) != crash_admission::held;
}

TEST(CrashSuspects, ARequestIsHeldOnceTwoTargetsEndedUnderIt)
{
    crash_suspects suspects(1);
    end_target(suspects, "guilty", "t1", start);
    EXPECT_TRUE(admits(suspects, "guilty", start + 10ms));
    end_target(suspects, "guilty", "t1", start + 20ms);
    EXPECT_TRUE(admits(suspects, "guilty", start + 30ms));
    end_target(suspects, "guilty", "t2", start + 40ms);
    EXPECT_FALSE(admits(suspects, "guilty", start + 50ms));
    EXPECT_TRUE(admits(suspects, "other", start + 50ms));
}

TEST(CrashSuspects, ABrokenConnectionOfATargetThatLivesAccusesNobody)
{
    crash_suspects suspects(1);
    for (const auto* target : {"t1", "t2", "t3"})
        suspects.on_connection_lost("innocent", target, start_unix_ms, start);
    EXPECT_TRUE(suspects.is_empty());
    // It ends later, for another reason.
    EXPECT_TRUE(suspects.on_connection_refused("t1", start + 5s).empty());
    EXPECT_TRUE(suspects.is_empty());
}

TEST(CrashSuspects, OneThatIsAnsweredSinceIsCleared)
{
    crash_suspects suspects(1);
    end_target(suspects, "innocent", "t1", start);
    suspects.release("innocent");
    end_target(suspects, "innocent", "t2", start + 1s);
    EXPECT_TRUE(admits(suspects, "innocent", start + 2s));
}

TEST(CrashSuspects, OneTrialAtATimeIsLetThroughAfterTheHold)
{
    crash_suspects suspects(1);
    end_target(suspects, "guilty", "t1", start);
    end_target(suspects, "guilty", "t2", start);
    EXPECT_FALSE(admits(suspects, "guilty", start + 4s));
    const auto later = start + 11s;
    EXPECT_TRUE(admits(suspects, "guilty", later));
    EXPECT_FALSE(admits(suspects, "guilty", later + 1ms));
    suspects.release("guilty");
    EXPECT_TRUE(admits(suspects, "guilty", later + 200ms));
}

// Several in flight at once ended a target each before the second end was
// known.
TEST(CrashSuspects, OneThatIsSuspectedIsSentAtATime)
{
    crash_suspects suspects(1);
    EXPECT_TRUE(suspects.takes_turn("suspected", turn, start));
    end_target(suspects, "suspected", "t1", start);
    // The one that was in flight is repeated.
    EXPECT_FALSE(suspects.takes_turn("suspected", turn, start + 10ms));
    EXPECT_TRUE(suspects.takes_turn("other", turn, start + 10ms));
    EXPECT_TRUE(suspects.takes_turn("suspected", turn, start + 300ms));
    EXPECT_FALSE(suspects.takes_turn("suspected", turn, start + 301ms));
    // Of a route whose requests take long it lasts longer.
    EXPECT_FALSE(suspects.takes_turn("suspected", 4s, start + 3s));
    suspects.release("suspected");
    EXPECT_TRUE(suspects.takes_turn("suspected", turn, start + 302ms));
}

TEST(CrashSuspects, WhatAPeerSawSuspectedWaitsForThePeer)
{
    crash_suspects suspects(1);
    suspects.on_peer_report({"suspected", "t1", start_unix_ms, {}}, start);
    EXPECT_FALSE(suspects.takes_turn("suspected", turn, start + 10ms));
    // News that comes late holds nobody up.
    suspects.on_peer_report({"late", "t1", start_unix_ms, 1s}, start);
    EXPECT_TRUE(suspects.takes_turn("late", turn, start + 10ms));
}

// Others in flight beside it explain nothing, so their turns would take long.
TEST(CrashSuspects, WhatAnotherRequestExplainsWaitsForNoTurn)
{
    crash_suspects suspects(1);
    end_target(suspects, "guilty", "t1", start);
    end_target(suspects, "innocent", "t1", start);
    EXPECT_FALSE(suspects.takes_turn("innocent", turn, start + 1ms));
    end_target(suspects, "guilty", "t2", start + 2ms);
    EXPECT_TRUE(suspects.takes_turn("innocent", turn, start + 3ms));
}

TEST(CrashSuspects, WhatPeersSawCountsLikeOwnSight)
{
    crash_suspects here(1);
    crash_suspects there(2);
    there.on_connection_lost("guilty", "t1", start_unix_ms, start);
    const auto news = there.on_connection_refused("t1", start + 1ms);
    ASSERT_EQ(news.size(), 1u);
    EXPECT_TRUE(here.on_peer_report(news[0], start + 2ms));
    EXPECT_FALSE(here.on_peer_report(news[0], start + 3ms));
    end_target(here, "guilty", "t2", start + 10ms);
    EXPECT_FALSE(admits(here, "guilty", start + 20ms));
}

TEST(CrashSuspects, AnIdentityIsBoundedAndPrintable)
{
    const std::string longest(100'000, 'x');
    for (const std::string& target :
         {std::string("/a"), longest, std::string("/\x01\xff")}) {
        const auto id = request_identity("GET", "a.example", target, longest);
        EXPECT_LT(id.size(), 600u);
        for (const char c : id)
            EXPECT_TRUE(c > ' ' && c < 127);
    }
    EXPECT_NE(request_identity("POST", "a", "/b", "1"),
              request_identity("POST", "a", "/b", "2"));
}

RC_GTEST_PROP(CrashSuspects, NoFloodOfNewRequestsFreesTheOneThatIsHeld, ())
{
    crash_suspects suspects(*rc::gen::arbitrary<std::uint64_t>());
    end_target(suspects, "guilty", "t1", start);
    end_target(suspects, "guilty", "t2", start);
    const auto flood = 3 * crash_suspects::max_entries;
    for (std::size_t i = 0; i < flood; ++i)
        end_target(suspects, "new" + std::to_string(i), "t3",
                   start + std::chrono::microseconds(i));
    RC_ASSERT(!admits(suspects, "guilty", start + 1s));
}

struct replay_settings
{
    std::size_t instances = 6;
    double guilty_per_second = 1.5;
    int guilty_requests = 1; ///< with different addresses
    double loss = 0.1;       ///< share of the news between instances
    bool holds_back = true;
    bool repeats = true;
    duration length = 20s;
    duration guilty_until = 20s;   ///< since the start
    double crashes_per_second = 0; ///< of targets, for other reasons
};

/// In virtual time: instances, targets, guilty requests and ordinary ones. A
/// guilty one ends its target some time after it was sent, and everything that
/// is in flight there breaks.
class replay
{
public:
    replay(const replay_settings& settings, std::uint64_t seed)
        : settings_(settings), random_(seed), targets_(target_count)
    {
        for (std::size_t i = 0; i < settings.instances; ++i)
            instances_.emplace_back(random_());
    }

    void run()
    {
        for (now_ = start; now_ < start + settings_.length; now_ += 1ms) {
            run_due();
            if (draw() < ordinary_per_second / 1000)
                send(draw_instance(), "r" + std::to_string(++ordinary_), 0);
            if (draw() < popular_per_second / 1000)
                send(draw_instance(), "popular", 0);
            const bool guilty = now_ < start + settings_.guilty_until;
            if (draw() < settings_.guilty_per_second / 1000)
                ask_for_guilty(guilty);
            if (draw() < settings_.crashes_per_second / 1000)
                end_target(random_() % target_count);
        }
    }

    std::size_t ended_by_guilty = 0;
    std::size_t refused = 0; ///< of the ordinary requests
    std::size_t refused_popular = 0;
    std::size_t asked = 0;
    std::size_t asked_popular = 0;
    duration waited_popular{};              ///< for turns, all of them together
    std::optional<time_point> served_again; ///< a guilty one, after its mend

private:
    static constexpr std::size_t target_count = 30;
    static constexpr double ordinary_per_second = 100;
    static constexpr double popular_per_second = 30;
    static constexpr duration work = 120ms;
    static constexpr duration until_end = 60ms;
    static constexpr duration until_refusal = 4ms;
    static constexpr duration down = 3s;
    static constexpr duration latency = 2ms;      ///< between instances
    static constexpr duration repeat_news = 50ms; ///< as `crash_relay` does
    static constexpr duration recheck = 10ms;     ///< of one that waits
    static constexpr duration max_wait = 2 * turn;

    struct flight
    {
        std::size_t instance;
        std::string request;
        int attempt;
        bool is_over = false;
    };

    struct target
    {
        time_point up_at{};
        std::int64_t start = 1;
        std::vector<std::shared_ptr<flight>> flights;
    };

    double draw()
    {
        return draw_share(random_);
    }

    std::size_t draw_instance()
    {
        return random_() % instances_.size();
    }

    void after(duration delay, std::function<void()> what)
    {
        due_.emplace(now_ + delay, std::move(what));
    }

    void run_due()
    {
        while (!due_.empty() && due_.begin()->first <= now_) {
            const auto what = std::move(due_.begin()->second);
            due_.erase(due_.begin());
            what();
        }
    }

    void ask_for_guilty(bool guilty)
    {
        const auto number =
            static_cast<int>(draw() * settings_.guilty_requests);
        const auto name = "guilty" + std::to_string(number);
        send(draw_instance(), guilty ? name : "mended:" + name, 0);
    }

    // What is mended keeps its identity.
    static std::string identity(const std::string& request)
    {
        return request.starts_with("mended:") ? request.substr(7) : request;
    }

    void send(std::size_t at, const std::string& request, int attempt,
              duration waited = {})
    {
        auto& instance = instances_[at];
        const auto name = identity(request);
        if (attempt == 0 && waited == duration::zero())
            count_asked(request);
        if (settings_.holds_back) {
            const auto admission = attempt == 0 ? instance.admit(name, now_)
                                   : instance.is_held(name, now_)
                                       ? crash_admission::held
                                       : crash_admission::allowed;
            if (admission == crash_admission::held) {
                count_refused(request);
                return;
            }
            if (admission == crash_admission::trial)
                tell_twice([name](auto& peer, auto now) {
                    peer.on_peer_trial(name, now);
                });
            const bool waits = admission == crash_admission::allowed &&
                               attempt == 0 && waited < max_wait &&
                               !instance.takes_turn(name, turn, now_);
            if (waits) {
                waited_popular += request == "popular" ? recheck : 0ms;
                after(recheck, [this, at, request, waited] {
                    send(at, request, 0, waited + recheck);
                });
                return;
            }
        }
        auto number = random_() % target_count;
        for (int i = 0; i < 100 && targets_[number].up_at > now_; ++i)
            number = random_() % target_count;
        auto sent = std::make_shared<flight>(flight{at, request, attempt});
        targets_[number].flights.push_back(sent);
        if (request.starts_with("guilty"))
            after(until_end, [this, number, sent] {
                if (!sent->is_over && ++ended_by_guilty > 0)
                    end_target(number);
            });
        after(work, [this, sent] { on_answered(*sent); });
    }

    void on_answered(flight& sent)
    {
        if (sent.is_over)
            return;
        sent.is_over = true;
        const auto name = identity(sent.request);
        if (name != sent.request)
            served_again = served_again.value_or(now_);
        if (instances_[sent.instance].release(name))
            tell_twice([name](auto& peer, auto) { peer.release(name); });
    }

    void end_target(std::size_t number)
    {
        auto& ended = targets_[number];
        if (ended.up_at > now_)
            return;
        const auto name = "t" + std::to_string(number);
        const auto process = ended.start++;
        ended.up_at = now_ + down;
        for (const auto& each : std::exchange(ended.flights, {})) {
            if (std::exchange(each->is_over, true))
                continue;
            instances_[each->instance].on_connection_lost(
                identity(each->request), name, process, now_);
            after(until_refusal, [this, each, name] {
                confirm(each->instance, name);
                if (each->attempt == 0 && settings_.repeats)
                    send(each->instance, each->request, 1);
            });
        }
    }

    void confirm(std::size_t at, const std::string& target)
    {
        for (const auto& report :
             instances_[at].on_connection_refused(target, now_))
            tell_twice([report](auto& peer, auto now) {
                peer.on_peer_report(report, now);
            });
    }

    template <class Message>
    void tell(Message message, duration delay = {})
    {
        for (auto& peer : instances_)
            if (draw() >= settings_.loss)
                after(delay + latency,
                      [this, &peer, message] { message(peer, now_); });
    }

    template <class Message>
    void tell_twice(Message message)
    {
        tell(message);
        tell(message, repeat_news);
    }

    void count_asked(const std::string& request)
    {
        asked += request.starts_with("r") ? 1 : 0;
        asked_popular += request == "popular" ? 1 : 0;
    }

    void count_refused(const std::string& request)
    {
        refused += request.starts_with("r") ? 1 : 0;
        refused_popular += request == "popular" ? 1 : 0;
    }

    replay_settings settings_;
    random_engine random_;
    std::vector<crash_suspects> instances_;
    std::vector<target> targets_;
    std::multimap<time_point, std::function<void()>> due_;
    time_point now_ = start;
    std::size_t ordinary_ = 0;
};

constexpr std::uint64_t seeds = 20;

TEST(CrashSuspects, AReplayedGuiltyRequestEndsFewTargets)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        replay before({.holds_back = false}, seed);
        before.run();
        EXPECT_GT(before.ended_by_guilty, 20u);
        // Fewer attempts alone leave one end for each caller.
        replay baseline({.holds_back = false, .repeats = false}, seed);
        baseline.run();
        EXPECT_GT(baseline.ended_by_guilty, 12u);
        replay after({}, seed);
        after.run();
        EXPECT_LE(after.ended_by_guilty, 6u) << "seed " << seed;
        EXPECT_LE(after.refused, after.asked / 100);
        EXPECT_LE(after.refused_popular, after.asked_popular / 100);
    }
}

// The goals for one request: 4 targets on a small site, 6 on larger ones.
constexpr std::size_t small_goal = 4;
constexpr std::size_t large_goal = 6;

TEST(CrashGoals, AGuiltyRequestEndsAtMostFourTargetsOfASmallFleet)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        replay small({}, seed);
        small.run();
        EXPECT_LE(small.ended_by_guilty, small_goal) << "seed " << seed;
    }
}

TEST(CrashGoals, TwoGuiltyRequestsAtOnceEndAtMostFourTargetsEach)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        replay both({.guilty_per_second = 3, .guilty_requests = 2}, seed);
        both.run();
        EXPECT_LE(both.ended_by_guilty, 2 * small_goal) << "seed " << seed;
    }
}

TEST(CrashGoals, AGuiltyRequestEndsAtMostSixTargetsOfALargeFleet)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
        for (const std::size_t size : {30u, 189u}) {
            replay large({.instances = size, .guilty_per_second = 10}, seed);
            large.run();
            EXPECT_LE(large.ended_by_guilty, large_goal)
                << size << " instances, seed " << seed;
        }
}

TEST(CrashSuspects, TwoGuiltyRequestsAtOnceHoldBackHardlyAnythingElse)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        replay both({.guilty_per_second = 3, .guilty_requests = 2}, seed);
        both.run();
        EXPECT_LE(both.refused, both.asked / 100) << "seed " << seed;
    }
}

TEST(CrashSuspects, AMendedRequestIsServedWithinTenSeconds)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        replay mended({.length = 30s, .guilty_until = 15s}, seed);
        mended.run();
        ASSERT_TRUE(mended.served_again);
        EXPECT_LE(*mended.served_again, start + 25s) << "seed " << seed;
    }
}

// Targets that end for other reasons, more often than on any day of the users.
TEST(CrashSuspects, TargetsThatEndByThemselvesHoldBackHardlyAnything)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        for (const double rate : {0.5, 2.0, 5.0}) {
            replay crashes({.guilty_per_second = 0, .crashes_per_second = rate},
                           seed);
            crashes.run();
            EXPECT_LE(crashes.refused, crashes.asked / 100)
                << rate << " a second, seed " << seed;
            EXPECT_LE(crashes.refused_popular, crashes.asked_popular / 20)
                << rate << " a second, seed " << seed;
            // Less than 5 ms for each.
            EXPECT_LE(crashes.waited_popular, 5ms * crashes.asked_popular)
                << rate << " a second, seed " << seed;
        }
}

TEST(CrashSuspects, ATargetThatEndsAgainAndAgainCountsEachTime)
{
    crash_suspects suspects(1);
    end_target(suspects, "guilty", "t1", start, 5);
    end_target(suspects, "guilty", "t1", start + 3s, 3'005);
    EXPECT_FALSE(admits(suspects, "guilty", start + 4s));
}

TEST(CrashSuspects, AnEndThatAPeerTellsWithoutItsStartCountsOnce)
{
    crash_suspects suspects(1);
    end_target(suspects, "guilty", "t1", start);
    EXPECT_FALSE(suspects.on_peer_report({"guilty", "t1", 0, {}}, start + 1ms));
    EXPECT_TRUE(admits(suspects, "guilty", start + 2ms));
}

// It was repeated at the target that the guilty one ended next.
TEST(CrashSuspects, WhatAnotherRequestExplainsIsNotHeldBack)
{
    crash_suspects suspects(1);
    for (const auto* target : {"t1", "t2"}) {
        end_target(suspects, "guilty", target, start);
        end_target(suspects, "innocent", target, start);
    }
    EXPECT_FALSE(admits(suspects, "innocent", start + 1s));
    end_target(suspects, "guilty", "t3", start + 1s);
    EXPECT_TRUE(admits(suspects, "innocent", start + 2s));
    EXPECT_FALSE(admits(suspects, "guilty", start + 2s));
    // It was guilty after all.
    end_target(suspects, "innocent", "t4", start + 3s);
    EXPECT_FALSE(admits(suspects, "innocent", start + 4s));
}

TEST(CrashSuspects, PeersWaitForATrial)
{
    crash_suspects here(1);
    crash_suspects there(2);
    for (auto* each : {&here, &there}) {
        end_target(*each, "guilty", "t1", start);
        end_target(*each, "guilty", "t2", start);
    }
    const auto later = start + 10s;
    ASSERT_EQ(here.admit("guilty", later), crash_admission::trial);
    there.on_peer_trial("guilty", later);
    EXPECT_FALSE(admits(there, "guilty", later + 1s));
    // It came to nothing.
    EXPECT_EQ(there.admit("guilty", later + 3s), crash_admission::trial);
}

TEST(CrashSuspects, AnInstanceThatStartsIsToldWhatIsHeld)
{
    crash_suspects known(1);
    end_target(known, "guilty", "t1", start);
    end_target(known, "guilty", "t2", start);
    end_target(known, "suspected", "t1", start);
    crash_suspects starting(2);
    for (const auto& report : known.held_reports(8, start + 3s))
        starting.on_peer_report(report, start + 3s);
    EXPECT_FALSE(admits(starting, "guilty", start + 4s));
    EXPECT_TRUE(admits(starting, "suspected", start + 4s));
    // The time that has passed counts.
    EXPECT_TRUE(admits(starting, "guilty", start + 10s));
    EXPECT_TRUE(known.held_reports(1, start + 3s).empty());
    EXPECT_EQ(known.held_requests(start + 3s),
              std::vector<std::string>{"guilty"});
}

TEST(CrashSuspects, AReleasedRequestIsServedAtOnce)
{
    crash_suspects suspects(1);
    end_target(suspects, "guilty", "t1", start);
    EXPECT_FALSE(suspects.release("other"));
    end_target(suspects, "guilty", "t2", start);
    EXPECT_GT(suspects.hold_left("guilty", start + 1s), 5s);
    EXPECT_TRUE(suspects.release("guilty"));
    EXPECT_TRUE(admits(suspects, "guilty", start + 1s));
    EXPECT_TRUE(suspects.is_empty());
}

TEST(CrashReport, IsReadAsItWasWritten)
{
    const crash_report report{"GET/a.example/b", "t1", 5, 3ms};
    EXPECT_EQ(parse_crash_report(to_json(report)), report);
    // From an instance of the version before.
    const auto older = nlohmann::json{{"request", "GET/a"}, {"target", "t1"}};
    EXPECT_EQ(parse_crash_report(older), (crash_report{"GET/a", "t1", 0, {}}));
}

TEST(CrashReport, RefusesWhatMakesNoSense)
{
    const std::string long_text(2000, 'x');
    for (const auto& text :
         {std::string("null"), std::string("{}"),
          std::string(R"({"request":"","target":"t"})"),
          std::string(R"({"request":"a b","target":"t"})"),
          std::string(R"({"request":"a","target":""})"),
          std::string(R"({"request":"a","target":5})"),
          std::string(R"({"request":"a","target":"t","start":"x"})"),
          R"({"request":")" + long_text + R"(","target":"t"})",
          R"({"request":"a","target":")" + long_text + R"("})"})
        EXPECT_ANY_THROW(parse_crash_report(nlohmann::json::parse(text)))
            << text;
}

} // namespace
