#include "vanillapost/src/rollouts/rollout_judge.hpp"

#include <algorithm>

namespace vanillapost {

namespace {

/// Shortest time between two cuts. Shorter intervals hold too few answers to
/// tell what burdens both versions.
constexpr duration min_interval = std::chrono::milliseconds(250);
/// Log likelihood from which a version is suspicious.
constexpr double suspicion = 6;
/// Answers of the target version from which it can be called good so far.
constexpr std::uint64_t min_answers = 50;

std::uint64_t target_answers(const evidence_totals& totals)
{
    std::uint64_t sum = 0;
    for (const auto& [route, evidence] : totals.routes)
        sum += evidence.all_target().answers();
    return sum;
}

} // namespace

rollout_verdict rollout_judge::judge(const evidence_totals& totals,
                                     time_point now)
{
    if (std::holds_alternative<bad_version>(verdict_))
        return verdict_;
    if (last_cut_ && now - *last_cut_ < min_interval)
        return verdict_;
    std::optional<duration> interval;
    if (last_cut_)
        interval = now - *last_cut_;
    last_cut_ = now;
    for (const auto& [route, evidence] : totals.routes)
        routes_[route].weigh(evidence, interval);
    verdict_ = verdict(totals);
    return verdict_;
}

rollout_verdict rollout_judge::verdict(const evidence_totals& totals) const
{
    double doubt = 0;
    for (const auto& [route, judge] : routes_) {
        if (judge.doubt() >= judge_threshold)
            return bad_version{route, judge.reason()};
        doubt = std::max(doubt, judge.doubt());
    }
    if (doubt >= suspicion)
        return undecided{true};
    if (target_answers(totals) < min_answers)
        return undecided{};
    return good_so_far{};
}

} // namespace vanillapost
