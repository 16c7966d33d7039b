#ifndef VANILLAPOST_SRC_QUOTAS_QUOTA_MEMBERSHIP_HPP
#define VANILLAPOST_SRC_QUOTAS_QUOTA_MEMBERSHIP_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"
#include "quota_view.hpp"

#include <optional>
#include <set>
#include <vector>

namespace vanillapost {

/// What an instance currently knows of the others.
struct quota_member_names
{
    /// This instance included, unless it leaves.
    std::vector<entry_id> live;
    std::vector<entry_id> dead; ///< silent, and did not leave
    std::vector<entry_id> left; ///< announced that they stop
    bool reaches_store = false;
};

/// Counts the members, of which more than half have to be live before an
/// instance grants requests.
///
/// The dead are forgotten while the majority lives. A minority may be on the
/// smaller side of a partition, so it forgets nobody unless it has reached the
/// store for a while: the members that it misses have then ended.
class quota_membership
{
public:
    quota_membership(entry_id self, time_point joining_until);

    /// The view from which the quotas' owners follow.
    quota_view update(const quota_member_names& names, time_point now);

private:
    void forget(const quota_member_names& names, time_point now);

    time_point joining_until_{};
    std::set<entry_id> known_;
    /// Since when this instance is in a minority that reaches the store.
    std::optional<time_point> witnessed_since_;
};

} // namespace vanillapost

#endif
