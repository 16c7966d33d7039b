#include "vanillapost/src/placement/detail/target_intake.hpp"

#include <algorithm>

namespace vanillapost::detail {

namespace {

// Requests a second that it takes from all instances now.
std::optional<double> rate_bound(const placed_target& each, time_point now)
{
    const bool starts = each.knowledge.is_cold(now) && !each.record.cold_slots;
    if (!starts)
        return each.rate_limit;
    return std::min(each.rate_limit.value_or(each.cold_rate), each.cold_rate);
}

} // namespace

target_intake::target_intake(const placement_settings& settings)
    : fresh_report_(settings.fresh_report),
      cold_settling_(settings.cold_settling), view_{settings.self, {}}
{
}

void target_intake::set_members(std::vector<owner_candidate> members)
{
    view_.members = std::move(members);
    ++view_.version;
}

std::optional<time_point> target_intake::next_turn(const placed_target& each,
                                                   time_point now) const
{
    const auto open_at = now + each.knowledge.pause_left(now);
    const auto bound = rate_bound(each, now);
    if (!bound)
        return open_at;
    const auto turn = each.share.next_turn(
        each.record.id, each.record.data_centre, *bound, view_, now);
    if (!turn)
        return std::nullopt;
    return std::max(*turn, open_at);
}

duration target_intake::until_others_turn(const placed_target& each,
                                          time_point now) const
{
    const auto bound = rate_bound(each, now).value_or(0);
    return each.knowledge.pause_left(now) + each.share.interval(bound);
}

bool target_intake::takes_now(const placed_target& each, time_point now) const
{
    const auto turn = next_turn(each, now);
    if (!turn || *turn > now)
        return false;
    const bool by_slots = each.record.cold_slots && each.knowledge.is_cold(now);
    return !by_slots || has_cold_slot(each, now);
}

// The first owner alone: shares of so few slots would be empty.
bool target_intake::has_cold_slot(const placed_target& each,
                                  time_point now) const
{
    const bool fresh = each.knowledge.report_age(now) <= fresh_report_;
    const bool settled = each.knowledge.cold_for(now) >= cold_settling_;
    return fresh && settled &&
           each.knowledge.load(now) + 1 <= *each.record.cold_slots + 0.5 &&
           is_first_owner(each);
}

bool target_intake::is_first_owner(const placed_target& each) const
{
    const auto owners =
        rate_owners(each.record.id, each.record.data_centre, view_.members, 1);
    return !owners.empty() && owners.front() == view_.self;
}

} // namespace vanillapost::detail
