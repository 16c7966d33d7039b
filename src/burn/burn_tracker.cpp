#include "vanillapost/src/burn/burn_tracker.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace vanillapost {

namespace {

constexpr duration longest_window = std::ranges::max(burn_windows);

} // namespace

burn_tracker::burn_tracker(const burn_settings& settings) : settings_(settings)
{
}

void burn_tracker::observe(std::string_view source, time_point at,
                           answer_count counts, bool from_zero)
{
    assert(history_.empty() || history_.back().at <= at);
    counts.good = std::min(counts.good, counts.total);
    if (history_.empty()) {
        history_.push_back({at, total_});
        started_ = at;
    }
    const answer_count more = increment(source, counts, from_zero);
    total_.good += more.good;
    total_.total += more.total;
    append(at);
}

answer_count burn_tracker::increment(std::string_view source,
                                     answer_count counts, bool from_zero)
{
    const auto found = sources_.find(source);
    if (found == sources_.end()) {
        sources_.emplace(source, counts);
        return from_zero ? counts : answer_count{};
    }
    const answer_count before = std::exchange(found->second, counts);
    const bool reset = counts.total < before.total || counts.good < before.good;
    if (reset)
        return counts;
    const std::uint64_t total = counts.total - before.total;
    return {std::min(counts.good - before.good, total), total};
}

void burn_tracker::append(time_point at)
{
    // The newest point is always exact; it is kept as a step of the history
    // once it is far enough from the one before.
    const std::size_t size = history_.size();
    const bool replace =
        size >= 2 && at - history_[size - 2].at < settings_.resolution;
    if (replace)
        history_.back() = {at, total_};
    else
        history_.push_back({at, total_});
    while (history_.size() > 2 && history_[1].at + longest_window <= at)
        history_.pop_front();
}

burn_window burn_tracker::window(duration length, time_point now) const
{
    burn_window result{.length = length};
    if (history_.empty())
        return result;
    const auto after =
        std::ranges::upper_bound(history_, now - length, {}, &point::at);
    const point& start = after == history_.begin() ? *after : *std::prev(after);
    result.covered = std::clamp(now - start.at, duration{}, length);
    result.answers = {total_.good - start.total.good,
                      total_.total - start.total.total};
    return result;
}

burn_severity burn_tracker::severity(time_point now,
                                     std::span<const burn_rule> rules) const
{
    burn_severity highest = burn_severity::none;
    for (const burn_rule& rule : rules) {
        const double objective = settings_.objective;
        const bool burns =
            window(rule.long_window, now).burn_rate(objective) >= rule.rate &&
            window(rule.short_window, now).burn_rate(objective) >= rule.rate;
        if (burns)
            highest = std::max(highest, rule.severity);
    }
    return highest;
}

double burn_tracker::budget_left(time_point now) const
{
    if (history_.empty() || settings_.period <= duration{})
        return 1;
    const burn_window all{.length = settings_.period, .answers = total_};
    const double elapsed = std::chrono::duration<double>(now - started_) /
                           std::chrono::duration<double>(settings_.period);
    return 1 - all.burn_rate(settings_.objective) * std::min(1.0, elapsed);
}

} // namespace vanillapost
