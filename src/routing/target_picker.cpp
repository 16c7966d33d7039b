#include "vanillapost/src/routing/target_picker.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace vanillapost {

namespace {

/// Weight of the newest answer in the failure rate.
constexpr double failure_weight = 0.3;

/// Failure rate at which a target is avoided: two failures in a row.
constexpr double largest_failure_rate = 0.5;

/// Time after which an old latency counts half in the score.
constexpr duration latency_half_life = std::chrono::seconds(2);

/// Weight of own requests in flight in the score.
constexpr double load_weight = 0.5;

/// Doublings after which the backoff is at its longest in any case.
constexpr int most_doublings = 20;

double lower_median(std::vector<double> values)
{
    if (values.empty())
        return 0;
    const auto middle =
        values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

double microseconds(duration value)
{
    return static_cast<double>(value.count());
}

} // namespace

target_picker::target_picker(const target_picker_settings& settings)
    : settings_(settings)
{
}

std::optional<target_id>
target_picker::pick(std::span<const target_candidate> candidates,
                    time_point now, random_engine& random) const
{
    return best_of(candidates, now, random, fitness::fit);
}

std::optional<target_id>
target_picker::pick_slow(std::span<const target_candidate> candidates,
                         duration wait, time_point now,
                         random_engine& random) const
{
    std::vector<target_candidate> worthwhile;
    for (const target_candidate& candidate : candidates) {
        if (!slower_than(candidate, wait))
            worthwhile.push_back(candidate);
    }
    return best_of(worthwhile, now, random, fitness::slow);
}

bool target_picker::slower_than(const target_candidate& candidate,
                                duration wait) const
{
    const auto found = states_.find(candidate.target);
    const auto mean =
        found == states_.end() ? std::nullopt : found->second.latency.mean();
    const double known =
        std::max(mean.value_or(0), microseconds(candidate.oldest_age));
    return known > microseconds(wait);
}

std::optional<target_id>
target_picker::best_of(std::span<const target_candidate> candidates,
                       time_point now, random_engine& random,
                       fitness least) const
{
    const bool ignore = too_many_avoided(candidates);
    const target_candidate* best = nullptr;
    fitness best_fitness = least;
    double best_score = 0;
    unsigned ties = 0;
    for (const target_candidate& candidate : candidates) {
        const fitness fit = judge_fitness(candidate, now, ignore);
        if (fit < best_fitness)
            continue;
        const double value = score(candidate, now);
        const bool better = !best || fit > best_fitness || value < best_score;
        ties = better ? 1 : ties + (value == best_score);
        // Each of several equals is kept with the same probability.
        if (better || (value == best_score && random(ties) == 0)) {
            best = &candidate;
            best_fitness = fit;
            best_score = value;
        }
    }
    return best ? std::optional(best->target) : std::nullopt;
}

target_picker::fitness
target_picker::judge_fitness(const target_candidate& candidate, time_point now,
                             bool ignore_avoidance) const
{
    if (candidate.in_flight >= candidate.limit)
        return fitness::unfit;
    const auto found = states_.find(candidate.target);
    if (found == states_.end())
        return fitness::fit;
    const state& target = found->second;
    if (now < target.paused_until)
        return fitness::unfit;
    if (target.avoided != avoidance::none && !ignore_avoidance) {
        if (now >= target.avoided_until && target.trial_in_flight == 0)
            return fitness::trial;
        return target.avoided == avoidance::slow ? fitness::slow
                                                 : fitness::unfit;
    }
    // An answer that is long overdue tells of a slowdown before it arrives.
    const bool overdue = median_ > 0 && microseconds(candidate.oldest_age) >
                                            settings_.overdue_factor * median_;
    return overdue && !ignore_avoidance ? fitness::slow : fitness::fit;
}

double target_picker::score(const target_candidate& candidate,
                            time_point now) const
{
    double result = candidate.local ? 0 : settings_.remote_penalty;
    result += load_weight * candidate.in_flight / candidate.limit;
    const auto found = states_.find(candidate.target);
    if (found == states_.end())
        return result + 1;
    const state& target = found->second;
    if (now - target.reported_at < settings_.report_life)
        result += settings_.report_weight * target.reported_load;
    const auto mean = target.latency.mean();
    if (!mean || median_ <= 0)
        return result + 1;
    // Old latency fades, so that a target with a bad streak is tried again.
    const double age = microseconds(now - target.answered_at) /
                       microseconds(latency_half_life);
    return result + 1 + (*mean / median_ - 1) * std::exp2(-age);
}

bool target_picker::too_many_avoided(
    std::span<const target_candidate> candidates) const
{
    constexpr std::size_t fewest_to_compare = 3;
    if (candidates.size() < fewest_to_compare)
        return false;
    const auto avoided = std::ranges::count_if(
        candidates, [&](const target_candidate& candidate) {
            const auto found = states_.find(candidate.target);
            return found != states_.end() &&
                   found->second.avoided != avoidance::none;
        });
    return static_cast<double>(avoided) >
           settings_.largest_avoided_share *
               static_cast<double>(candidates.size());
}

void target_picker::on_dispatch(const target_id& target)
{
    state& used = states_[target];
    if (used.avoided != avoidance::none)
        ++used.trial_in_flight;
}

void target_picker::on_cancelled(const target_id& target)
{
    state& used = states_[target];
    used.trial_in_flight = std::max(0, used.trial_in_flight - 1);
}

void target_picker::on_answer(const target_id& target, time_point now,
                              duration latency, answer_quality quality)
{
    state& used = states_[target];
    const bool was_avoided = used.avoided != avoidance::none;
    used.trial_in_flight = std::max(0, used.trial_in_flight - 1);
    if (quality == answer_quality::shed) {
        used.paused_until = now + settings_.shed_pause;
        return;
    }
    const bool good = quality == answer_quality::good;
    used.failure_rate += failure_weight * ((good ? 0 : 1) - used.failure_rate);
    if (good) {
        used.latency.observe(latency);
        used.answered_at = now;
        update_median();
    }
    if (was_avoided)
        on_trial_answer(used, good && !stands_out(target, latency), now);
    else if (!good && used.failure_rate >= largest_failure_rate)
        avoid(used, avoidance::failing, now);
    else if (good)
        judge(target, used, latency, now);
}

void target_picker::judge(const target_id& target, state& judged,
                          duration latency, time_point now)
{
    // One slow answer is no proof: the mean has to stand out as well.
    if (judged.latency.samples() < settings_.samples_to_judge)
        return;
    const duration mean(static_cast<duration::rep>(*judged.latency.mean()));
    if (stands_out(target, mean) && stands_out(target, latency))
        avoid(judged, avoidance::slow, now);
}

void target_picker::on_trial_answer(state& target, bool good, time_point now)
{
    if (!good) {
        // Answers to requests from before the avoidance are no new tries.
        if (now >= target.avoided_until)
            avoid(target, target.avoided, now);
        return;
    }
    if (now < target.avoided_until ||
        ++target.good_tries < settings_.good_to_return)
        return;
    target.avoided = avoidance::none;
    target.bad_tries = 0;
    target.failure_rate = 0;
    target.latency.reset();
}

void target_picker::avoid(state& target, avoidance why, time_point now)
{
    const int doublings = std::min(target.bad_tries, most_doublings);
    const auto backoff = settings_.first_backoff * (1 << doublings);
    target.avoided = why;
    target.avoided_until = now + std::min(backoff, settings_.longest_backoff);
    target.good_tries = 0;
    ++target.bad_tries;
}

void target_picker::on_load_report(const target_id& target, time_point at,
                                   int in_flight, int slots)
{
    state& reported = states_[target];
    reported.reported_load =
        static_cast<double>(in_flight) / std::max(1, slots);
    reported.reported_at = at;
}

void target_picker::set_reference(std::optional<duration> median)
{
    reference_ = median ? microseconds(*median) : 0;
    update_median();
}

bool target_picker::avoided(const target_id& target, time_point now) const
{
    const auto found = states_.find(target);
    return found != states_.end() && found->second.avoided != avoidance::none &&
           now < found->second.avoided_until;
}

std::optional<time_point> target_picker::next_change(time_point now) const
{
    std::optional<time_point> next;
    for (const auto& [name, target] : states_) {
        for (time_point at : {target.avoided_until, target.paused_until}) {
            if (at > now)
                next = next ? std::min(*next, at) : at;
        }
    }
    return next;
}

bool target_picker::stands_out(const target_id& target, duration latency) const
{
    const double median = median_of_others(target);
    return median > 0 && microseconds(latency) > settings_.slow_factor * median;
}

std::optional<duration> target_picker::median_latency() const
{
    if (median_ <= 0)
        return std::nullopt;
    return duration(static_cast<duration::rep>(median_));
}

void target_picker::remove(const target_id& target)
{
    states_.erase(target);
    update_median();
}

double target_picker::median_of_others(const target_id& target) const
{
    // A single answer of another target is no measure for this one.
    const int least = settings_.samples_to_judge;
    std::vector<double> means;
    for (const auto& [name, other] : states_) {
        if (name != target && other.latency.samples() >= least)
            means.push_back(*other.latency.mean());
    }
    if (reference_ > 0)
        means.push_back(reference_);
    return lower_median(std::move(means));
}

void target_picker::update_median()
{
    median_ = median_of_others({});
}

} // namespace vanillapost
