#ifndef VANILLAPOST_SRC_PLACEMENT_DETAIL_TARGET_INTAKE_HPP
#define VANILLAPOST_SRC_PLACEMENT_DETAIL_TARGET_INTAKE_HPP

#include "../placement_settings.hpp"
#include "placed_target.hpp"

namespace vanillapost::detail {

/// What targets say that they take, and when one instance may send them a
/// request by that: nothing while one pauses, so many requests a second, from
/// all instances together, after its start and while it names a limit.
class target_intake
{
public:
    explicit target_intake(const placement_settings& settings);

    /// The members among which bounded rates are divided.
    void set_members(std::vector<owner_candidate> members);

    /// From when on this instance may send a request; never where other
    /// instances own the parts of its rate.
    std::optional<time_point> next_turn(const placed_target& each,
                                        time_point now) const;

    /// Until it takes a request from some instance; after `next_turn` said that
    /// none of its parts is this one's.
    duration until_others_turn(const placed_target& each, time_point now) const;

    /// Whether it takes a request now.
    bool takes_now(const placed_target& each, time_point now) const;

    /// The one instance that asks for a cold target's slots.
    bool is_first_owner(const placed_target& each) const;

private:
    bool has_cold_slot(const placed_target& each, time_point now) const;

    duration fresh_report_;
    duration cold_settling_;
    rate_owner_view view_;
};

} // namespace vanillapost::detail

#endif
