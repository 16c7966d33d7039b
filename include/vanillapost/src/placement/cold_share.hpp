#ifndef VANILLAPOST_SRC_PLACEMENT_COLD_SHARE_HPP
#define VANILLAPOST_SRC_PLACEMENT_COLD_SHARE_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"

#include <optional>
#include <span>
#include <vector>

namespace vanillapost {

/// One instance as a possible owner of cold targets.
struct owner_candidate
{
    entry_id name;
    data_centre_id data_centre;
};

/// How many instances may send to one cold target.
inline constexpr std::size_t cold_owner_count = 2;

/// The instances that may send to a cold target: by rendezvous hash, those of
/// its data centre first. Every instance computes the same from the same
/// members, and a member that comes or goes changes few targets.
std::vector<entry_id> cold_owners(const target_id& target,
                                  const data_centre_id& data_centre,
                                  std::span<const owner_candidate> members);

/// Spaces the requests of one owner to one cold target.
///
/// Pattern it answers: a target that restarts falls over when all instances
/// send it their usual share. With \ref cold_owner_count owners the target
/// gets its rate; while views of the members differ, up to five owners stay
/// within twice the rate and a half.
class cold_pacer
{
public:
    /// \param per_second  that the target bears in all
    bool may_send(double per_second, time_point now) const;
    void on_sent(time_point now);

    /// When `may_send` turns true, at the earliest.
    time_point next(double per_second) const;

private:
    std::optional<time_point> last_;
};

} // namespace vanillapost

#endif
