#include "vanillapost/src/rollouts/rollout_judge.hpp"

#include <algorithm>

namespace vanillapost {

namespace {

/// Shortest time between two cuts. Shorter intervals hold too few answers to
/// tell what burdens both versions.
constexpr duration min_interval = std::chrono::milliseconds(250);
/// Log likelihood from which a version is suspicious.
constexpr double suspicion = 3.5;
/// Bad answers of the target version after which a suspicion suffices: a bad
/// one may give few more.
constexpr std::uint64_t max_bad_answers = 35;
/// Answers of the target version from which it can be called good so far.
constexpr std::uint64_t min_answers = 50;

/// All routes together. Both versions get the same mixture of them.
route_evidence sum_of(const route_evidence_map& routes)
{
    route_evidence sum;
    for (const auto& [route, evidence] : routes)
        sum += evidence;
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
    const auto sum = sum_of(totals.routes);
    routes_[std::string(all_routes)].weigh(sum, interval);
    verdict_ = verdict(sum.all_target());
    return verdict_;
}

rollout_verdict rollout_judge::verdict(const version_counts& target) const
{
    const double sufficient =
        target.bad < max_bad_answers ? judge_threshold : suspicion;
    double doubt = 0;
    for (const auto& [route, judge] : routes_) {
        const double compared = judge.compared_doubt();
        if (judge.doubt() >= judge_threshold || compared >= sufficient)
            return bad_version{route, judge.reason()};
        doubt = std::max(doubt, compared);
    }
    if (doubt >= suspicion)
        return undecided{true};
    if (target.answers() < min_answers)
        return undecided{};
    return good_so_far{};
}

} // namespace vanillapost
