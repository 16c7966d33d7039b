#include "vanillapost/src/rollouts/rollout_plan.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace vanillapost {

namespace {

using seconds = std::chrono::duration<double>;

/// Part of the exposed share that the canary phase uses; the rest is left for
/// the time in which all requests go to the target version.
constexpr double canary_part = 0.25;
/// Part of the exposed share that is planned with. What instances send on
/// views that are out of date has to fit in the rest.
constexpr double planned_part = 0.8;
/// Part of the requests beyond the share that is planned with. The random
/// starts of the instances' splits need the rest.
constexpr double slack_part = 0.3;
/// Longest part of the time limit that the slack alone may give to the full
/// share, for services with few requests.
constexpr double max_slack_time_part = 0.2;
/// Shares of the steps between the canary's share and all requests.
constexpr std::array ramp_shares{0.2, 0.5, 0.85};
/// Length of each step, as a part of the time that the budget gives for the
/// full share, and the part left for the full share.
constexpr double ramp_step_part = 0.15;
constexpr double full_part = 0.75;
/// Part of the planned time with all requests at the target version that must
/// have passed before a completion, so that load has shown what it shows.
constexpr double min_full_part = 0.6;
/// Time before the deadline that writing the final state may take, as a part
/// of the time limit and within bounds.
constexpr double write_margin_part = 0.05;
constexpr duration min_write_margin = std::chrono::milliseconds(500);
constexpr duration max_write_margin = std::chrono::seconds(2);
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
    const bool shown = full >= scaled(full_share_time(), min_full_part) &&
                       std::holds_alternative<good_so_far>(view.verdict);
    const bool spread = view.reach.seen == view.reach.live;
    return shown && spread && view.reach.in_flight_at_current == 0;
}

/// Whether the budget would be exceeded before another directive is followed.
bool rollout_plan::over_budget(const rollout_view& view) const
{
    const double ahead = per_second_ * seconds(look_ahead).count();
    return !fits_budget(view, directive_.target_share * ahead, 0);
}

/// \param target_requests  to the target version, beyond those of the view
/// \param all_requests  to both versions, beyond those of the view
bool rollout_plan::fits_budget(const rollout_view& view, double target_requests,
                               double all_requests) const
{
    const double exposed =
        static_cast<double>(view.totals.sent_to_target) + target_requests;
    const double all = static_cast<double>(view.totals.sent()) + all_requests;
    return exposed <=
           limits_.expose_share * all + slack_part * limits_.expose_slack;
}

void rollout_plan::choose_share(const rollout_view& view)
{
    const bool known = has_reported(view.reach);
    if (known && !switched_ && may_switch(view))
        switched_ = view.order_age;
    if (known && switched_) {
        give(rollout_phase::switching, 1);
        return;
    }
    const double share = known ? ramp_share(view) : 0;
    if (share > 0) {
        give(rollout_phase::ramping, share);
        return;
    }
    const double canary = canary_share(limits_);
    const double ahead = per_second_ * seconds(look_ahead).count();
    const bool fits = fits_budget(view, canary * ahead, 0);
    give(rollout_phase::canary, fits ? canary : 0);
}

bool rollout_plan::may_switch(const rollout_view& view) const
{
    const auto left = remaining(view);
    const auto lasts = std::max(left, write_margin());
    const double requests = per_second_ * seconds(lasts).count();
    return left <= scaled(full_share_time(), full_part) &&
           fits_budget(view, requests, requests);
}

/// The share of the step that the time left calls for, or of a lower one if
/// the budget doesn't allow it; 0 if there is none.
double rollout_plan::ramp_share(const rollout_view& view) const
{
    const auto step = scaled(full_share_time(), ramp_step_part);
    const double requests = per_second_ * seconds(step).count();
    auto begin = scaled(full_share_time(), full_part) + step;
    for (std::size_t i = ramp_shares.size(); i-- > 0; begin += step) {
        const double share = ramp_shares.at(i);
        if (remaining(view) <= begin &&
            fits_budget(view, share * requests, requests))
            return share;
    }
    return 0;
}

/// For how long all requests may go to the target version after the canary
/// phase, if the rate stays as it is.
duration rollout_plan::full_share_time() const
{
    const double share = std::max(
        planned_part * limits_.expose_share - canary_share(limits_), 0.0);
    const auto by_share = scaled(order_.time_limit, share);
    const double slack = slack_part * limits_.expose_slack;
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
