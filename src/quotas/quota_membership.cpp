#include "vanillapost/src/quotas/quota_membership.hpp"

#include <algorithm>

namespace vanillapost {

namespace {

/// Longer than a member needs to be noticed again after a restart.
constexpr duration minority_patience = std::chrono::seconds(10);

} // namespace

quota_membership::quota_membership(entry_id self, time_point joining_until)
    : joining_until_(joining_until), known_{std::move(self)}
{
}

void quota_membership::forget(const quota_member_names& names, time_point now)
{
    for (const auto& each : names.left)
        known_.erase(each);
    const bool is_minority = names.live.size() * 2 <= known_.size();
    if (!is_minority || !names.reaches_store)
        witnessed_since_.reset();
    else if (!witnessed_since_)
        witnessed_since_ = now;
    const bool is_witnessed =
        witnessed_since_ && now >= *witnessed_since_ + minority_patience;
    if (is_minority && !is_witnessed)
        return;
    known_ = {names.live.begin(), names.live.end()};
    if (!is_witnessed)
        known_.insert(names.dead.begin(), names.dead.end());
}

quota_view quota_membership::update(const quota_member_names& names,
                                    time_point now)
{
    known_.insert(names.live.begin(), names.live.end());
    known_.insert(names.dead.begin(), names.dead.end());
    forget(names, now);
    quota_view view;
    view.members = {names.live.begin(), names.live.end()};
    std::ranges::sort(view.members);
    view.known = known_.size();
    view.joining_until = joining_until_;
    return view;
}

} // namespace vanillapost
