#include "vanillapost/targets.hpp"

#include <gtest/gtest.h>

using namespace vanillapost;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};
constexpr std::size_t many = 27;

// Requests went on to targets of which none could be reached.
TEST(ReachDetector, WhoHearsOfNoTargetIsCutOff)
{
    reach_detector detector;
    for (const auto* name : {"a", "b", "c", "d"})
        detector.on_silence({name}, start);
    EXPECT_FALSE(detector.is_cut_off(many, start + 399ms));
    EXPECT_TRUE(detector.is_cut_off(many, start + reach_detector::min_silence));
    detector.on_answer();
    EXPECT_FALSE(detector.is_cut_off(many, start + 1min));
    EXPECT_FALSE(detector.is_suspected());
}

TEST(ReachDetector, TargetsThatHaveEndedAreNoPartition)
{
    reach_detector detector;
    for (int i = 0; i < 100; ++i) {
        detector.on_silence({"a"}, start);
        detector.on_silence({"b"}, start);
        detector.on_silence({"c"}, start);
    }
    EXPECT_TRUE(detector.is_suspected());
    EXPECT_FALSE(detector.is_cut_off(many, start + 1min));
}

TEST(ReachDetector, OneAnswerBetweenIsEnough)
{
    reach_detector detector;
    detector.on_silence({"a"}, start);
    detector.on_silence({"b"}, start);
    detector.on_answer();
    detector.on_silence({"c"}, start + 1s);
    detector.on_silence({"d"}, start + 1s);
    EXPECT_FALSE(detector.is_cut_off(many, start + 2s));
}

// A process that was stopped finds all its calls late at once.
TEST(ReachDetector, AStallOfTheInstanceItselfIsNoPartition)
{
    reach_detector detector;
    for (const auto* name : {"a", "b", "c", "d"})
        detector.on_silence({name}, start);
    EXPECT_FALSE(detector.is_cut_off(many, start + 100ms));
}

TEST(ReachDetector, OfFewTargetsAllHaveToBeSilent)
{
    reach_detector detector;
    EXPECT_FALSE(detector.is_cut_off(0, start));
    detector.on_silence({"a"}, start);
    EXPECT_FALSE(detector.is_cut_off(2, start + 1s));
    detector.on_silence({"b"}, start);
    EXPECT_TRUE(detector.is_cut_off(2, start + 1s));
    EXPECT_FALSE(detector.is_cut_off(0, start + 1s));
}

} // namespace
