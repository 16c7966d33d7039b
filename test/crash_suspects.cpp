/// Requests under which targets end: the guilty one is held back, and those in
/// flight beside it are not.

#include "vanillapost/attempts.hpp"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>
#include <set>

using namespace vanillapost;
using namespace std::chrono_literals;

namespace {

const time_point start{100s};

void end_target(crash_suspects& suspects, const std::string& request,
                const std::string& target, time_point now)
{
    suspects.on_connection_lost(request, target, now);
    suspects.on_connection_refused(target, now + 2ms);
}

TEST(CrashSuspects, ARequestIsHeldOnceTwoTargetsEndedUnderIt)
{
    crash_suspects suspects(1);
    end_target(suspects, "guilty", "t1", start);
    EXPECT_TRUE(suspects.admits("guilty", start + 10ms));
    end_target(suspects, "guilty", "t1", start + 20ms);
    EXPECT_TRUE(suspects.admits("guilty", start + 30ms));
    end_target(suspects, "guilty", "t2", start + 40ms);
    EXPECT_FALSE(suspects.admits("guilty", start + 50ms));
    EXPECT_TRUE(suspects.admits("other", start + 50ms));
}

TEST(CrashSuspects, ABrokenConnectionOfATargetThatLivesAccusesNobody)
{
    crash_suspects suspects(1);
    for (const auto* target : {"t1", "t2", "t3"})
        suspects.on_connection_lost("innocent", target, start);
    EXPECT_TRUE(suspects.is_empty());
    // It ends later, for another reason.
    EXPECT_TRUE(suspects.on_connection_refused("t1", start + 5s).empty());
    EXPECT_TRUE(suspects.is_empty());
}

TEST(CrashSuspects, OneThatIsAnsweredSinceIsCleared)
{
    crash_suspects suspects(1);
    end_target(suspects, "innocent", "t1", start);
    suspects.on_answered("innocent");
    end_target(suspects, "innocent", "t2", start + 1s);
    EXPECT_TRUE(suspects.admits("innocent", start + 2s));
}

TEST(CrashSuspects, OneTrialAtATimeIsLetThroughAfterTheHold)
{
    crash_suspects suspects(1);
    end_target(suspects, "guilty", "t1", start);
    end_target(suspects, "guilty", "t2", start);
    EXPECT_FALSE(suspects.admits("guilty", start + 4s));
    const auto later = start + 11s;
    EXPECT_TRUE(suspects.admits("guilty", later));
    EXPECT_FALSE(suspects.admits("guilty", later + 1ms));
    suspects.on_answered("guilty");
    EXPECT_TRUE(suspects.admits("guilty", later + 200ms));
}

TEST(CrashSuspects, WhatPeersSawCountsLikeOwnSight)
{
    crash_suspects here(1);
    crash_suspects there(2);
    there.on_connection_lost("guilty", "t1", start);
    const auto news = there.on_connection_refused("t1", start + 1ms);
    ASSERT_EQ(news.size(), 1u);
    EXPECT_TRUE(here.on_peer_report(news[0], start + 2ms));
    EXPECT_FALSE(here.on_peer_report(news[0], start + 3ms));
    end_target(here, "guilty", "t2", start + 10ms);
    EXPECT_FALSE(here.admits("guilty", start + 20ms));
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
    RC_ASSERT(!suspects.admits("guilty", start + 1s));
}

struct replay_result
{
    std::set<std::string> ended;
    int refused_innocent = 0;
    int innocent = 0;
};

/// Six instances, thirty targets, a guilty request in thirty; a target ends
/// with what is in flight there, and a tenth of the news is lost.
replay_result replay(bool holds_back)
{
    std::mt19937_64 random(20261205);
    std::vector<crash_suspects> instances;
    for (std::uint64_t key = 0; key < 6; ++key)
        instances.emplace_back(key);
    replay_result result;
    int number = 0;
    for (auto now = start; now < start + 20s; now += 20ms) {
        const bool is_guilty = random() % 33 == 0;
        const auto request =
            is_guilty ? std::string("guilty") : "r" + std::to_string(++number);
        auto& instance = instances[random() % instances.size()];
        result.innocent += is_guilty ? 0 : 1;
        if (holds_back && !instance.admits(request, now)) {
            result.refused_innocent += is_guilty ? 0 : 1;
            continue;
        }
        if (!is_guilty)
            continue;
        // The attempt, and one repeat unless it is held by then.
        for (int attempt = 0; attempt < 2; ++attempt) {
            if (holds_back && attempt > 0 && instance.is_held(request, now))
                break;
            const auto target = "t" + std::to_string(random() % 30);
            result.ended.insert(target + "@" +
                                std::to_string(now.time_since_epoch() / 3s));
            instance.on_connection_lost(request, target, now);
            instance.on_connection_lost("r" + std::to_string(number), target,
                                        now);
            for (const auto& news : instance.on_connection_refused(target, now))
                for (auto& peer : instances)
                    if (&peer != &instance && random() % 10 != 0)
                        peer.on_peer_report(news, now);
        }
    }
    return result;
}

TEST(CrashSuspects, AReplayedGuiltyRequestEndsFewTargets)
{
    const auto before = replay(false);
    const auto after = replay(true);
    EXPECT_GT(before.ended.size(), 20u);
    EXPECT_LE(after.ended.size(), 6u);
    EXPECT_LE(after.refused_innocent, after.innocent / 100);
}

} // namespace
