#include "vanillapost/src/placement/detail/target_admission.hpp"

#include <algorithm>

namespace vanillapost::detail {

namespace {

// Requests a second that the target accepts from all instances now; nullopt if
// unlimited.
std::optional<double> effective_rate_limit(const tracked_target& each,
                                           time_point now)
{
    const bool warming_up = each.status.is_cold(now) && !each.record.cold_slots;
    if (!warming_up)
        return each.rate_limit;
    return std::min(each.rate_limit.value_or(each.cold_rate), each.cold_rate);
}

} // namespace

target_admission::target_admission(const placement_settings& settings)
    : max_report_age_(settings.max_report_age),
      cold_settling_time_(settings.cold_settling_time), view_{settings.self, {}}
{
    view_.joining_until = settings.started + joining_time;
}

void target_admission::set_members(std::vector<owner_candidate> members)
{
    view_.members = std::move(members);
    ++view_.version;
}

std::optional<time_point>
target_admission::next_send_time(const tracked_target& each,
                                 time_point now) const
{
    const auto pause_end = now + each.status.pause_left(now);
    const auto limit = effective_rate_limit(each, now);
    if (!limit)
        return pause_end;
    const auto send_at = each.share.next_send_time(
        each.record.id, each.record.data_centre, *limit, view_, now);
    if (!send_at)
        return std::nullopt;
    return std::max(*send_at, pause_end);
}

duration target_admission::wait_for_other_owners(const tracked_target& each,
                                                 time_point now) const
{
    const auto limit = effective_rate_limit(each, now).value_or(0);
    return each.status.pause_left(now) + each.share.interval(limit);
}

bool target_admission::accepts_now(const tracked_target& each,
                                   time_point now) const
{
    const auto send_at = next_send_time(each, now);
    if (!send_at || *send_at > now)
        return false;
    const bool limited_by_slots =
        each.record.cold_slots && each.status.is_cold(now);
    return !limited_by_slots || has_free_cold_slot(each, now);
}

// Only the first owner uses them: there are too few slots to share.
bool target_admission::has_free_cold_slot(const tracked_target& each,
                                          time_point now) const
{
    const bool fresh = each.status.report_age(now) <= max_report_age_;
    const bool settled = each.status.cold_for(now) >= cold_settling_time_;
    return fresh && settled &&
           each.status.load(now) + 1 <= *each.record.cold_slots + 0.5 &&
           is_first_owner(each);
}

bool target_admission::is_first_owner(const tracked_target& each) const
{
    const auto owners =
        rate_owners(each.record.id, each.record.data_centre, view_.members, 1);
    return !owners.empty() && owners.front() == view_.self;
}

} // namespace vanillapost::detail
