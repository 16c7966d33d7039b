#ifndef VANILLAPOST_SRC_PLACEMENT_RATE_SHARE_HPP
#define VANILLAPOST_SRC_PLACEMENT_RATE_SHARE_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace vanillapost {

/// An instance that may own a share of a target's rate limit.
struct owner_candidate
{
    entry_id name;
    data_centre_id data_centre;
};

/// The number of instances that share a rate: as many as give each about one
/// request a second, and at least two, since one may have just died.
std::size_t rate_owner_count(double per_second);

/// The instances that may send to a target with a rate limit, chosen by
/// rendezvous hashing with those of the target's data centre first. Every
/// instance computes the same owners from the same members, a member that joins
/// or leaves affects few targets, and the owners for a smaller count are always
/// among those for a larger one.
std::vector<entry_id> rate_owners(const target_id& target,
                                  const data_centre_id& data_centre,
                                  std::span<const owner_candidate> members,
                                  std::size_t count);

/// The members as one instance sees them.
struct rate_owner_view
{
    entry_id self;
    std::vector<owner_candidate> members; ///< those that take requests
    std::uint64_t version = 1;            ///< rises with each change of members
    /// Until then this instance may have just started, and the members that
    /// start with it are not all among `members`.
    time_point joining_until{};
};

/// One instance's share of the rate that a target accepts from all of them.
///
/// A target that has just started or is overloaded fails if every instance
/// sends it the usual number of requests. The owners of the rate space their
/// requests so that together they stay within it. While instances disagree on
/// the members, there are briefly more owners. An instance that takes over a
/// share therefore waits for a whole interval first, in which the previous
/// owner stops. So does one that has just started, for all targets: those that
/// start with it see it later than it sees itself.
class rate_share
{
public:
    /// The time at which this instance may send its next request; at once if it
    /// is in the past. Nullopt if the instance owns no share of the rate.
    /// \param per_second  requests that the target accepts from all instances
    std::optional<time_point> next_send_time(const target_id& target,
                                             const data_centre_id& data_centre,
                                             double per_second,
                                             const rate_owner_view& view,
                                             time_point now);

    /// Delays the next request by an interval from now. Called when a request
    /// was sent, or when this instance cannot know what others have just sent.
    void start_interval(time_point now)
    {
        interval_start_ = now;
    }

    /// Time between two requests of one owner, for the number of owners at the
    /// last call of `next_send_time`.
    duration interval(double per_second) const;

private:
    void update_owners(const target_id& target,
                       const data_centre_id& data_centre, std::size_t count,
                       const rate_owner_view& view, time_point now);

    std::optional<time_point> interval_start_;
    bool is_owner_ = false;
    std::uint64_t view_version_ = 0; ///< used for `is_owner_`; 0: not computed
    std::size_t requested_owner_count_ = 0; ///< used for `is_owner_`
    std::size_t owner_count_ = 1; ///< fewer than requested in a small cluster
};

} // namespace vanillapost

#endif
