#ifndef VANILLAPOST_SRC_ROLLOUTS_VERSION_SPLIT_HPP
#define VANILLAPOST_SRC_ROLLOUTS_VERSION_SPLIT_HPP

#include "../base/random.hpp"
#include "../base/time.hpp"
#include "rollout_directive.hpp"
#include "rollout_evidence.hpp"
#include "rollout_order.hpp"

#include <optional>

namespace vanillapost {

/// Age up to which a directive is followed. After it the target version's
/// share is that of the canary phase at most.
inline constexpr duration directive_lifetime = std::chrono::seconds(2);

/// Which versions a request can go to now.
struct usable_versions
{
    bool current = true;
    bool target = false;
};

/// Picks the version for each request of one service at one instance.
///
/// Each request adds the share in force to a credit, and one that goes to the
/// target version takes 1 from it. The credit starts at a random point below
/// 1, so that the sum over many instances with few requests each keeps to the
/// share as well.
class version_split
{
public:
    version_split(const rollout_order& order, const rollout_limits& limits,
                  random_engine& random);

    /// Follows a directive if it replaces the one followed, or is it again.
    /// Directives of another order are ignored.
    void follow(const rollout_directive& directive, time_point now);

    /// Picks for one request that is sent now. The target version gets it only
    /// if it has usable targets and the share allows. If the current version
    /// has none, requests go to the target version only once the directive
    /// says `switching` or the roll-out is completed; others shall wait for
    /// the current one.
    version_side pick(const usable_versions& usable, time_point now);

    /// Share of the target version in force now.
    double target_share(time_point now) const;

    /// The directive followed; nullopt before the first one.
    const std::optional<rollout_directive>& directive() const
    {
        return directive_;
    }

private:
    std::uint64_t order_revision_;
    double canary_share_;
    double credit_;
    std::optional<rollout_directive> directive_;
    time_point heard_{};
};

} // namespace vanillapost

#endif
