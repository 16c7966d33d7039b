#include "vanillapost/src/rollouts/version_split.hpp"

#include "vanillapost/src/rollouts/rollout_plan.hpp"

#include <algorithm>

namespace vanillapost {

namespace {

bool is_final(const rollout_directive& directive)
{
    return directive.phase == rollout_phase::finished ||
           directive.phase == rollout_phase::stopped;
}

} // namespace

version_split::version_split(const rollout_order& order,
                             const rollout_limits& limits,
                             random_engine& random)
    : order_revision_(order.revision),
      canary_share_(vanillapost::canary_share(limits)),
      credit_(draw_share(random))
{
}

void version_split::follow(const rollout_directive& directive, time_point now)
{
    if (directive.order_revision != order_revision_)
        return;
    const bool again = directive_ && *directive_ == directive;
    if (directive_ && !again && !replaces(directive, *directive_))
        return;
    directive_ = directive;
    heard_ = now;
}

double version_split::target_share(time_point now) const
{
    if (!directive_)
        return 0;
    const bool in_force =
        is_final(*directive_) || now - heard_ <= directive_lifetime;
    if (in_force)
        return directive_->target_share;
    return std::min(directive_->target_share, canary_share_);
}

version_side version_split::pick(const usable_versions& usable, time_point now)
{
    const double share = target_share(now);
    if (share >= 1) {
        // Once the roll-out is completed, the current version is stopped.
        const bool completed = directive_->phase == rollout_phase::finished;
        return usable.target || completed ? version_side::target
                                          : version_side::current;
    }
    // What the target version couldn't take isn't made up for later.
    if (!usable.target)
        return version_side::current;
    credit_ += share;
    if (credit_ < 1)
        return version_side::current;
    credit_ -= 1;
    return version_side::target;
}

} // namespace vanillapost
