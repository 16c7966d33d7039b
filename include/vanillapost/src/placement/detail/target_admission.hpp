#ifndef VANILLAPOST_SRC_PLACEMENT_DETAIL_TARGET_ADMISSION_HPP
#define VANILLAPOST_SRC_PLACEMENT_DETAIL_TARGET_ADMISSION_HPP

#include "../placement_settings.hpp"
#include "tracked_target.hpp"

namespace vanillapost::detail {

/// Admission control: when one instance may send a target a request. A target
/// gets none during a pause that it asked for. While it is cold or announces a
/// rate limit, all instances together keep to a number of requests a second.
class target_admission
{
public:
    /// Time after its start in which an instance may not see all members that
    /// start with it.
    static constexpr duration joining_time = std::chrono::seconds(3);

    explicit target_admission(const placement_settings& settings);

    /// Sets the members among which rate limits are divided.
    void set_members(std::vector<owner_candidate> members);

    /// The earliest time at which this instance may send a request; nullopt if
    /// other instances own all shares of the target's rate.
    std::optional<time_point> next_send_time(const tracked_target& each,
                                             time_point now) const;

    /// Time until the target accepts a request from some instance. To be called
    /// after `next_send_time` has returned nullopt.
    duration wait_for_other_owners(const tracked_target& each,
                                   time_point now) const;

    /// Whether the target accepts a request of this instance now.
    bool accepts_now(const tracked_target& each, time_point now) const;

    /// Whether this is the one instance that uses the slots of a cold target.
    bool is_first_owner(const tracked_target& each) const;

private:
    bool has_free_cold_slot(const tracked_target& each, time_point now) const;

    duration max_report_age_;
    duration cold_settling_time_;
    rate_owner_view view_;
};

} // namespace vanillapost::detail

#endif
