#include "vanillapost/src/rollouts/detail/route_judge.hpp"

#include "vanillapost/src/rollouts/rollout_judge.hpp"

#include <algorithm>
#include <cmath>

namespace vanillapost::detail {

namespace {

/// Time after which an answer of the current version counts half.
constexpr duration half_life = std::chrono::milliseconds(1500);
/// So many answers are kept however old they are.
constexpr double kept_answers = 50;
/// Answers of the current version that a share is taken from at least.
constexpr double min_baseline = 20;
/// Worse answers of the current version that count however few there are.
constexpr std::uint64_t min_worse = 1;
/// Assumed besides the answers of the current version, which may be few.
constexpr double assumed_answers = 40;
constexpr double assumed_bad = 2;
/// How many times the current version's share of worse answers the target
/// version may have and still count as alike: its targets are others.
constexpr double tolerance = 1.5;
/// Share of worse answers beyond that which counts as alike.
constexpr double bad_tolerance = 0.02;
constexpr double slow_tolerance = 0.05;
/// The same on top while there is no answer of the current version to compare
/// with, as what burdens both can't be told from a bad version then.
constexpr double bad_tolerance_alone = 0.08;
constexpr double slow_tolerance_alone = 0.2;
/// Answers of both versions that tell how they divide.
constexpr double min_mixture = 20;
/// Share of the answers below which the current version is no comparison.
constexpr double min_current_share = 0.05;
/// Share of bad answers of a bad version, beyond what counts as alike.
constexpr std::array more_bad{0.06, 0.2, 0.6};
/// Share of slow answers of a bad version, beyond what counts as alike.
constexpr std::array more_slow{0.12, 0.4};
/// Answers slower than all but this share of the current version's are slow.
constexpr double slow_share = 0.05;
/// Latencies of a version's first answers don't count: its targets are cold.
constexpr duration warm_up = std::chrono::seconds(3);
constexpr std::uint64_t warm_up_answers = 80;
constexpr duration longest_warm_up = std::chrono::seconds(12);
/// Share of the answers from which the target version is under load.
constexpr double load_share = 0.25;
/// For so long answers to requests sent under load come in, the slow ones
/// last.
constexpr duration load_answers_time = std::chrono::milliseconds(1500);
/// What one interval may contribute to the verdict, so that one short event
/// doesn't decide.
constexpr double max_interval_gain = judge_threshold / 3;
/// The first interval holds all that came before a decider took over.
constexpr double max_first_gain = judge_threshold * 0.75;
constexpr double max_share = 0.95;

template <std::size_t Tests>
double highest_doubt(const std::array<group_sums, Tests>& sums)
{
    double highest = 0;
    for (const auto& sum : sums)
        highest = std::max(highest, sum.doubt());
    return highest;
}

template <class Sums>
double compared(const Sums& sums)
{
    return std::max(highest_doubt(sums.always), highest_doubt(sums.loaded));
}

template <class Sums>
double overall(const Sums& sums)
{
    return std::max(compared(sums), highest_doubt(sums.alone));
}

/// The current version's share of worse answers in an interval. A few of few
/// answers count as well: they may be the beginning of an event.
double share_of(std::uint64_t worse, std::uint64_t answers)
{
    const bool enough =
        static_cast<double>(answers) >= min_baseline || worse >= min_worse;
    return enough && answers > 0
               ? static_cast<double>(worse) / static_cast<double>(answers)
               : 0;
}

std::string ratio_text(std::uint64_t part, std::uint64_t whole)
{
    return std::to_string(part) + " of " + std::to_string(whole);
}

} // namespace

void group_sums::add(const outcomes& interval, double alike, double more,
                     double max_gain, bool leave_out)
{
    const double null_share = std::min(alike, max_share);
    const double bad_share = std::min(null_share + more, (1 + max_share) / 2);
    const double worse_gain = std::log(bad_share / null_share);
    const double fine_gain = std::log((1 - bad_share) / (1 - null_share));
    const auto gain_of = [&](const outcome& group) {
        const auto fine = group.answers - group.worse;
        return static_cast<double>(group.worse) * worse_gain +
               static_cast<double>(fine) * fine_gain;
    };
    double gain = 0;
    for (const auto& group : interval)
        gain += gain_of(group);
    for (std::size_t i = 0; i < sums_.size(); ++i) {
        const double left_out = leave_out ? gain_of(interval.at(i)) : 0;
        const double step = std::min(gain - left_out, max_gain);
        sums_.at(i) = std::max(sums_.at(i) + step, 0.0);
    }
}

double group_sums::doubt() const
{
    return *std::ranges::min_element(sums_);
}

void route_judge::weigh(const route_evidence& evidence,
                        std::optional<duration> interval)
{
    const auto current = evidence.current.since(last_.current);
    target_counts target;
    std::uint64_t target_answers = 0;
    for (std::size_t i = 0; i < target.size(); ++i) {
        target.at(i) = evidence.target.at(i).since(last_.target.at(i));
        target_answers += target.at(i).answers();
    }
    last_ = evidence;
    const double kept =
        interval
            ? std::exp2(-std::chrono::duration<double>(*interval) / half_life)
            : 1;
    update_baseline(current, kept);
    const auto answers_so_far = evidence.all_target().answers();
    if (answers_so_far > 0 && interval)
        since_first_answer_ += *interval;
    if (since_load_ && interval)
        *since_load_ += *interval;
    note_mixture(current.answers(), target_answers);
    const double max_gain = interval ? max_interval_gain : max_first_gain;
    weigh_failures(current, target, max_gain);
    const bool warm =
        since_first_answer_ >= warm_up && answers_so_far >= warm_up_answers;
    if (warm || since_first_answer_ >= longest_warm_up)
        weigh_latencies(current, target, max_gain);
}

/// Looks at how the answers divide between the versions, over as many
/// intervals as it takes to see.
void route_judge::note_mixture(std::uint64_t current, std::uint64_t target)
{
    mixture_current_ += static_cast<double>(current);
    mixture_target_ += static_cast<double>(target);
    const double all = mixture_current_ + mixture_target_;
    if (all < min_mixture)
        return;
    alone_ = mixture_current_ < min_current_share * all;
    if (mixture_target_ >= load_share * all)
        since_load_ = duration::zero();
    mixture_current_ = 0;
    mixture_target_ = 0;
}

void route_judge::update_baseline(const version_counts& current, double kept)
{
    // Without new answers the old ones stay the best comparison there is.
    if (current.answers() == 0)
        return;
    if (recent_.answers < kept_answers)
        kept = 1;
    recent_.answers =
        recent_.answers * kept + static_cast<double>(current.answers());
    recent_.bad = recent_.bad * kept + static_cast<double>(current.bad);
    for (std::size_t i = 0; i < latency_bucket_count; ++i) {
        auto& bucket = recent_.latencies.at(i);
        bucket = bucket * kept + static_cast<double>(current.latencies.at(i));
    }
}

double route_judge::recent_slow_share(std::size_t bucket) const
{
    double good = 0;
    double slow = 0;
    for (std::size_t i = 0; i < latency_bucket_count; ++i) {
        good += recent_.latencies.at(i);
        slow += i > bucket ? recent_.latencies.at(i) : 0;
    }
    return good >= min_baseline ? slow / good : 1;
}

std::optional<std::size_t> route_judge::slow_bucket() const
{
    for (std::size_t i = 0; i + 1 < latency_bucket_count; ++i)
        if (recent_slow_share(i) <= slow_share)
            return i;
    return std::nullopt;
}

bool route_judge::leaves_out() const
{
    const auto answers = [](const version_counts& group) {
        return group.answers() > 0;
    };
    return std::ranges::count_if(last_.target, answers) > 1;
}

void route_judge::weigh_failures(const version_counts& current,
                                 const target_counts& target, double max_gain)
{
    outcomes interval;
    for (std::size_t i = 0; i < interval.size(); ++i)
        interval.at(i) = {target.at(i).answers(), target.at(i).bad};
    const double recent =
        (recent_.bad + assumed_bad) / (recent_.answers + assumed_answers);
    const double now = share_of(current.bad, current.answers());
    const double alike = tolerance * std::max(recent, now) + bad_tolerance +
                         (alone_ ? bad_tolerance_alone : 0);
    for (std::size_t i = 0; i < failure_tests; ++i)
        add(failures_, i, interval, alike, more_bad.at(i), max_gain);
}

/// What shows only under load isn't outweighed by the time without, and what
/// was seen next to the current version isn't by the time without it.
template <std::size_t Tests>
void route_judge::add(sums_by_load<Tests>& sums, std::size_t test,
                      const outcomes& interval, double alike, double more,
                      double max_gain)
{
    const bool leave_out = leaves_out();
    if (alone_) {
        sums.alone.at(test).add(interval, alike, more, max_gain, leave_out);
        return;
    }
    sums.always.at(test).add(interval, alike, more, max_gain, leave_out);
    if (since_load_ && *since_load_ <= load_answers_time)
        sums.loaded.at(test).add(interval, alike, more, max_gain, leave_out);
}

void route_judge::weigh_latencies(const version_counts& current,
                                  const target_counts& target, double max_gain)
{
    const auto slow = slow_bucket();
    if (!slow)
        return;
    for (std::size_t k = 0; k < slow_bounds; ++k) {
        const auto bucket = *slow + k;
        outcomes interval;
        for (std::size_t i = 0; i < interval.size(); ++i)
            interval.at(i) = {target.at(i).good,
                              target.at(i).slower_than(bucket)};
        const double now = share_of(current.slower_than(bucket), current.good);
        const double alike =
            tolerance * std::max(recent_slow_share(bucket), now) +
            slow_tolerance + (alone_ ? slow_tolerance_alone : 0);
        for (std::size_t i = 0; i < latency_tests; ++i)
            add(latencies_.at(k), i, interval, alike, more_slow.at(i),
                max_gain);
    }
}

double route_judge::latency_doubt() const
{
    double highest = 0;
    for (const auto& tests : latencies_)
        highest = std::max(highest, overall(tests));
    return highest;
}

double route_judge::doubt() const
{
    return std::max(overall(failures_), latency_doubt());
}

double route_judge::compared_doubt() const
{
    double highest = compared(failures_);
    for (const auto& tests : latencies_)
        highest = std::max(highest, compared(tests));
    return highest;
}

std::string route_judge::reason() const
{
    const auto target = last_.all_target();
    const auto& current = last_.current;
    if (overall(failures_) >= latency_doubt())
        return "bad answers: " + ratio_text(target.bad, target.answers()) +
               " of the target version, " +
               ratio_text(current.bad, current.answers()) + " of the current";
    const auto bucket = slow_bucket().value_or(latency_bucket_count - 1);
    return "slow answers: " +
           ratio_text(target.slower_than(bucket), target.good) +
           " of the target version, " +
           ratio_text(current.slower_than(bucket), current.good) +
           " of the current";
}

} // namespace vanillapost::detail
