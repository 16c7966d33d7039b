#include "vanillapost/src/rollouts/rollout_plan.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace vanillapost {

namespace {

using seconds = std::chrono::duration<double>;

/// Part of the exposed share that the canary phase uses; the rest is left for
/// the times in which most or all requests go to the target version.
constexpr double canary_part = 0.35;
/// Part of the exposed share that is planned with. What instances send on
/// views that are out of date has to fit in the rest.
constexpr double planned_part = 0.85;
/// Part of the requests beyond the share that is planned with, and what the
/// random starts of the instances' splits need of it: three standard
/// deviations, per square root of the instances.
constexpr double slack_part = 0.8;
constexpr double start_slack = 1.5;
/// Part of the planned slack that the canary phase uses, and the largest share
/// that it gets thereby.
constexpr double canary_slack_part = 0.5;
constexpr double max_canary_share = 0.3;
/// Longest part of the time limit that the slack alone may give to the full
/// share, for services with few requests.
constexpr double max_slack_time_part = 0.2;
/// Part of the time limit after which most requests go to the target version
/// for a short while, to see it under load. The answers are in and weighed
/// before the deadline is near.
constexpr double trial_begin_part = 0.5;
/// The trial's steps: share, and length as a part of the full share's time.
struct trial_step
{
    double share;
    double length_part;
};
constexpr std::array trial_steps{trial_step{0.3, 0.1}, trial_step{0.85, 0.5}};
/// Shares of the steps from the canary's share to all requests, and the
/// length of a step as a part of the full share's time.
constexpr std::array ramp_shares{0.3, 0.7};
constexpr double ramp_step_part = 0.3;
/// Part of the planned time with all requests at the target version that must
/// have passed before a completion, so that load has shown what it shows.
constexpr double min_full_part = 0.6;
/// Time before the deadline that writing the final state may take, as a part
/// of the time limit and within bounds.
constexpr double write_margin_part = 0.015;
constexpr duration min_write_margin = std::chrono::milliseconds(300);
constexpr duration max_write_margin = std::chrono::seconds(1);
/// Part of the live instances that must have reported before more than the
/// canary's share is given.
constexpr double min_reported_part = 0.5;
/// Time over which the rate of requests is measured.
constexpr duration rate_window = std::chrono::seconds(1);
/// How far ahead a share in force is checked against the budget: until the
/// next directive has reached all instances.
constexpr duration look_ahead = std::chrono::milliseconds(500);

bool is_final(std::optional<rollout_state> stored)
{
    return stored && *stored != rollout_state::serving;
}

bool is_suspicious(const rollout_verdict& verdict)
{
    const auto* open = std::get_if<undecided>(&verdict);
    return open && open->suspicious;
}

bool has_reported(const directive_reach& reach)
{
    return static_cast<double>(reach.reported) >=
           min_reported_part * static_cast<double>(reach.live);
}

} // namespace

double canary_share(const rollout_limits& limits)
{
    return limits.expose_share * canary_part;
}

rollout_plan::rollout_plan(rollout_order order, rollout_limits limits)
    : order_(std::move(order)), limits_(limits)
{
    directive_.order_revision = order_.revision;
}

void rollout_plan::observe(const rollout_directive& directive)
{
    const bool concerns = directive.order_revision == order_.revision &&
                          replaces(directive, directive_);
    // Only the store makes a plan finish.
    if (!concerns || directive.phase == rollout_phase::finished)
        return;
    directive_ = directive;
    if (directive.phase == rollout_phase::stopped && !stopped_by_)
        stopped_by_ = bad_version{"", "stopped by another decider"};
}

rollout_step rollout_plan::update(const rollout_view& view)
{
    note_rate(view);
    if (is_final(view.stored))
        return finish(*view.stored);
    if (stopped_by_)
        return stop(*stopped_by_);
    if (const auto* bad = std::get_if<bad_version>(&view.verdict))
        return stop(*bad);
    return advance(view);
}

rollout_step rollout_plan::finish(rollout_state state)
{
    const bool completed = state == rollout_state::completed;
    give(rollout_phase::finished, completed ? 1 : 0);
    return stay{};
}

rollout_step rollout_plan::stop(bad_version reason)
{
    stopped_by_ = std::move(reason);
    give(rollout_phase::stopped, 0);
    return write_state{rollout_state::rolled_back};
}

rollout_step rollout_plan::advance(const rollout_view& view)
{
    if (!view.target_usable)
        return give_up_or_wait(view);
    if (may_complete(view))
        return complete(view);
    choose_share(view);
    if (!view.stored)
        return write_state{rollout_state::serving};
    return stay{};
}

/// Without targets the order can't be fulfilled, and `completed` would stop
/// the only targets that there are.
rollout_step rollout_plan::give_up_or_wait(const rollout_view& view)
{
    if (!completing_ && remaining(view) <= write_margin())
        return stop({"", "the target version has no usable targets"});
    switched_.reset();
    give(rollout_phase::waiting, 0);
    if (!view.stored)
        return write_state{rollout_state::serving};
    return stay{};
}

rollout_step rollout_plan::complete(const rollout_view& view)
{
    // The last moment at which a doubt can still turn the roll-out back.
    if (is_suspicious(view.verdict) && !completing_)
        return stop({"", "likely bad when it had to be decided"});
    completing_ = true;
    give(rollout_phase::switching, 1);
    return write_state{rollout_state::completed};
}

bool rollout_plan::may_complete(const rollout_view& view) const
{
    if (completing_)
        return true;
    if (!switched_)
        return false;
    const auto left = remaining(view);
    const bool late = left <= write_margin();
    if (late || over_budget(view))
        return true;
    const auto full = view.order_age - *switched_;
    const auto planned = order_.time_limit - *switched_;
    const bool shown = full >= scaled(planned, min_full_part) &&
                       std::holds_alternative<good_so_far>(view.verdict);
    const bool spread = view.reach.seen == view.reach.live;
    return shown && spread && view.reach.in_flight_at_current == 0;
}

/// Whether the budget would be exceeded before another directive is followed.
bool rollout_plan::over_budget(const rollout_view& view) const
{
    const double ahead = requests_in(look_ahead);
    return !fits_budget(view, directive_.target_share * ahead, 0, 1);
}

double rollout_plan::requests_in(duration time) const
{
    return per_second_ * std::max(seconds(time).count(), 0.0);
}

/// \param target_requests  to the target version, beyond those of the view
/// \param all_requests  to both versions, beyond those of the view
/// \param part  of the exposed share that is to be used at most
bool rollout_plan::fits_budget(const rollout_view& view, double target_requests,
                               double all_requests, double part) const
{
    const double exposed =
        static_cast<double>(view.totals.sent_to_target) + target_requests;
    const double all = static_cast<double>(view.totals.sent()) + all_requests;
    return exposed <= part * limits_.expose_share * all + planned_slack(view);
}

void rollout_plan::choose_share(const rollout_view& view)
{
    const bool known = has_reported(view.reach);
    if (known && !switched_ && fits_until_deadline(view, 1))
        switched_ = view.order_age;
    if (known && switched_) {
        give(rollout_phase::switching, 1);
        return;
    }
    const double share = known ? raised_share(view) : 0;
    if (share > 0) {
        give(rollout_phase::ramping, share);
        return;
    }
    const double canary = planned_canary_share(view);
    const bool fits = fits_budget(view, canary * requests_in(look_ahead), 0, 1);
    give(rollout_phase::canary, fits ? canary : 0);
}

/// Requests beyond the share that are planned with.
double rollout_plan::planned_slack(const rollout_view& view) const
{
    const auto instances = static_cast<double>(view.reach.live);
    return std::max(slack_part * limits_.expose_slack -
                        start_slack * std::sqrt(instances),
                    0.0);
}

/// The share of the canary phase. For a service with few requests the slack
/// makes it larger, as too few answers would come otherwise. It is rounded, so
/// that it doesn't change with each small change of the rate.
double rollout_plan::planned_canary_share(const rollout_view& view) const
{
    constexpr double grain = 0.005;
    const double least = canary_share(limits_);
    if (!has_reported(view.reach))
        return least;
    const double all = std::max(requests_in(order_.time_limit), 1.0);
    const double extra = canary_slack_part * planned_slack(view) / all;
    const double share = least + std::floor(extra / grain) * grain;
    return std::min(share, std::max(max_canary_share, least));
}

/// Whether a share can be given for a step and all requests from then until
/// the final state is written.
bool rollout_plan::fits_until_deadline(const rollout_view& view,
                                       double share) const
{
    const auto full = full_share_time(view);
    const auto left = std::max(remaining(view), write_margin());
    const double saved =
        (1 - share) * requests_in(scaled(full, ramp_step_part));
    const double requests = requests_in(left);
    // There is little left that could come otherwise than planned.
    const bool last_chance = left <= write_margin() + write_margin();
    return left <= full + full && fits_budget(view, requests - saved, requests,
                                              last_chance ? 1 : planned_part);
}

/// The share of the trial under load, or of a step towards the full share; 0
/// if it is time for neither.
double rollout_plan::raised_share(const rollout_view& view) const
{
    for (std::size_t i = ramp_shares.size(); i-- > 0;)
        if (fits_until_deadline(view, ramp_shares.at(i)))
            return ramp_shares.at(i);
    const auto full = full_share_time(view);
    auto end = scaled(order_.time_limit, trial_begin_part);
    if (view.order_age < end)
        return 0;
    for (const auto& step : trial_steps) {
        end += scaled(full, step.length_part);
        if (view.order_age < end)
            return fits_trial(view, step.share) ? step.share : 0;
    }
    return 0;
}

/// Whether the canary's share until the deadline and a time at the full share
/// still fit if a share is given now.
bool rollout_plan::fits_trial(const rollout_view& view, double share) const
{
    const double canary = canary_share(limits_) * requests_in(remaining(view));
    const double needed =
        share * requests_in(look_ahead) + canary + requests_in(write_margin());
    return fits_budget(view, needed, requests_in(remaining(view)), 1);
}

/// For how long all requests may go to the target version after the canary
/// phase, if the rate stays as it is.
duration rollout_plan::full_share_time(const rollout_view& view) const
{
    const double share = std::max(
        planned_part * limits_.expose_share - canary_share(limits_), 0.0);
    const auto by_share = scaled(order_.time_limit, share);
    const double slack = (1 - canary_slack_part) * planned_slack(view);
    const auto longest = scaled(order_.time_limit, max_slack_time_part);
    if (per_second_ * seconds(longest).count() <= slack)
        return by_share + longest;
    const auto by_slack =
        std::chrono::duration_cast<duration>(seconds(slack / per_second_));
    return by_share + by_slack;
}

duration rollout_plan::remaining(const rollout_view& view) const
{
    return order_.time_limit - view.order_age;
}

duration rollout_plan::write_margin() const
{
    return std::clamp(scaled(order_.time_limit, write_margin_part),
                      min_write_margin, max_write_margin);
}

void rollout_plan::give(rollout_phase phase, double target_share)
{
    const bool same = directive_.version != 0 && directive_.phase == phase &&
                      directive_.target_share == target_share;
    if (same)
        return;
    directive_.phase = phase;
    directive_.target_share = target_share;
    ++directive_.version;
}

void rollout_plan::note_rate(const rollout_view& view)
{
    const rate_sample now{view.order_age, view.totals.sent()};
    // While reports of a new decider come in, the sum rises by more than what
    // was sent meanwhile.
    if (!has_reported(view.reach) || !rate_from_ ||
        now.sent < rate_from_->sent) {
        rate_from_ = now;
        const double age = std::max(seconds(view.order_age).count(), 1.0);
        per_second_ = static_cast<double>(now.sent) / age;
        return;
    }
    const auto passed = now.age - rate_from_->age;
    if (passed < rate_window)
        return;
    per_second_ = static_cast<double>(now.sent - rate_from_->sent) /
                  seconds(passed).count();
    rate_from_ = now;
}

} // namespace vanillapost
