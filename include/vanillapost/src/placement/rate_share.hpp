#ifndef VANILLAPOST_SRC_PLACEMENT_RATE_SHARE_HPP
#define VANILLAPOST_SRC_PLACEMENT_RATE_SHARE_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace vanillapost {

/// One instance as a possible owner of a part of a target's rate.
struct owner_candidate
{
    entry_id name;
    data_centre_id data_centre;
};

/// How many instances own parts of a rate: so many that each has about one
/// request a second, and two at the least, as one may have just died.
std::size_t rate_owner_count(double per_second);

/// The instances that may send to a target that takes a bounded rate: by
/// rendezvous hash, those of its data centre first. Every instance computes
/// the same from the same members, a member that comes or goes changes few
/// targets, and fewer owners are always among more.
std::vector<entry_id> rate_owners(const target_id& target,
                                  const data_centre_id& data_centre,
                                  std::span<const owner_candidate> members,
                                  std::size_t count);

/// The instances as one of them sees them.
struct rate_owner_view
{
    entry_id self;
    std::vector<owner_candidate> members; ///< that take requests
    std::uint64_t version = 1;            ///< rises with each change of members
};

/// One instance's part of the rate that a target takes from all of them.
///
/// Pattern it answers: a target that has just started, or is in need, falls
/// over when all instances send it their usual share. Its owners space their
/// requests, so that together they stay within the rate. While views of the
/// members differ there are more owners for a moment: one that takes over a
/// part waits for a whole interval first, in which the one before it stops.
class rate_share
{
public:
    /// When this instance may send its next request; in the past: at once.
    /// Nothing where it has no part of the rate.
    /// \param per_second  that the target takes from all instances
    std::optional<time_point>
    next_turn(const target_id& target, const data_centre_id& data_centre,
              double per_second, const rate_owner_view& view, time_point now);

    /// The next turn is an interval from now: a request was sent, or this
    /// instance does not know what others have just sent.
    void start_interval(time_point now)
    {
        interval_start_ = now;
    }

    /// Between two requests of one of the owners that were last looked at.
    duration interval(double per_second) const;

private:
    void look_at_owners(const target_id& target,
                        const data_centre_id& data_centre, std::size_t count,
                        const rate_owner_view& view, time_point now);

    std::optional<time_point> interval_start_;
    bool owns_ = false;
    std::uint64_t view_version_ = 0; ///< that `owns_` is of; 0: of none
    std::size_t wanted_owners_ = 0;  ///< that `owns_` is of
    std::size_t owners_ = 1;         ///< of a small fleet fewer than wanted
};

} // namespace vanillapost

#endif
