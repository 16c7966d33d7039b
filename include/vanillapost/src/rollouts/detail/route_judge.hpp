#ifndef VANILLAPOST_SRC_ROLLOUTS_DETAIL_ROUTE_JUDGE_HPP
#define VANILLAPOST_SRC_ROLLOUTS_DETAIL_ROUTE_JUDGE_HPP

#include "../../base/time.hpp"
#include "../rollout_evidence.hpp"
#include "../version_counts.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace vanillapost::detail {

/// Adds up, for one hypothesis on how much worse the target version is, the
/// log likelihood against both versions being about alike. The sum doesn't
/// fall below 0, so that a version that turns bad late is found as fast.
///
/// There is one sum for each group of targets, over the targets of all other
/// groups; only if all sums are high do the targets of more than one group do
/// worse.
class group_sums
{
public:
    /// Answers of a group in one interval.
    struct outcome
    {
        std::uint64_t answers = 0;
        std::uint64_t worse = 0;
    };
    using outcomes = std::array<outcome, target_group_count>;

    /// \param alike  share of worse answers if the versions are alike, at most
    /// \param more  by how much it is higher if the target version is bad
    /// \param max_gain  that one interval can add
    /// \param leave_out  whether to leave out a group for each sum
    void add(const outcomes& interval, double alike, double more,
             double max_gain, bool leave_out);

    /// The smallest sum.
    double doubt() const;

private:
    std::array<double, target_group_count> sums_{};
};

/// Judges the target version by the answers on one route.
class route_judge
{
public:
    /// Weighs what came since the last call.
    /// \param evidence  cumulative
    /// \param interval  time since the last call; nullopt in the first one
    void weigh(const route_evidence& evidence,
               std::optional<duration> interval);

    /// How much speaks against the target version: the highest log likelihood
    /// of all hypotheses that it is worse.
    double doubt() const;

    /// The same, without what was seen while there were no answers of the
    /// current version to compare with.
    double compared_doubt() const;

    /// The counts behind it, for the log.
    std::string reason() const;

private:
    /// Answers of the current version of late; older ones count less.
    struct baseline
    {
        double answers = 0;
        double bad = 0;
        std::array<double, latency_bucket_count> latencies{};
    };
    /// For each hypothesis: over all intervals with answers of both versions,
    /// over those of them in which the target version is under load, and over
    /// the intervals without answers of the current version.
    template <std::size_t Tests>
    struct sums_by_load
    {
        std::array<group_sums, Tests> always;
        std::array<group_sums, Tests> loaded;
        std::array<group_sums, Tests> alone;
    };
    using outcomes = group_sums::outcomes;
    using target_counts = std::array<version_counts, target_group_count>;

    void note_mixture(std::uint64_t current, std::uint64_t target);
    void update_baseline(const version_counts& current, double kept);
    std::optional<std::size_t> slow_bucket() const;
    double recent_slow_share(std::size_t bucket) const;
    void weigh_failures(const version_counts& current,
                        const target_counts& target, double max_gain);
    void weigh_latencies(const version_counts& current,
                         const target_counts& target, double max_gain);
    bool leaves_out() const;
    template <std::size_t Tests>
    void add(sums_by_load<Tests>& sums, std::size_t test,
             const outcomes& interval, double alike, double more,
             double max_gain);
    double latency_doubt() const;

    static constexpr std::size_t failure_tests = 3;
    static constexpr std::size_t latency_tests = 2;
    /// Bounds of the latency buckets that an answer counts as slow above.
    static constexpr std::size_t slow_bounds = 2;

    route_evidence last_;
    baseline recent_;
    duration since_first_answer_{};
    /// Answers since the mixture was looked at last.
    double mixture_current_ = 0;
    double mixture_target_ = 0;
    bool alone_ = false; ///< no answers of the current version to compare with
    /// Time since the target version was under load.
    std::optional<duration> since_load_;
    sums_by_load<failure_tests> failures_;
    std::array<sums_by_load<latency_tests>, slow_bounds> latencies_;
};

} // namespace vanillapost::detail

#endif
