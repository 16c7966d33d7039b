#ifndef VANILLAPOST_SRC_QUOTAS_QUOTA_VIEW_HPP
#define VANILLAPOST_SRC_QUOTAS_QUOTA_VIEW_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"

#include <cstddef>
#include <vector>

namespace vanillapost {

/// The members as one instance sees them.
struct quota_view
{
    std::vector<entry_id> members; ///< those that live and do not leave
    /// Members that have not left, the dead included: a member that seems dead
    /// may be on the other side of a partition.
    std::size_t known = 1;
    /// Until then this instance may have just started, and members that start
    /// with it are not all among `members`.
    time_point joining_until{};

    bool operator==(const quota_view&) const = default;
};

/// Whether the live members are more than half of the known ones. Of two
/// halves of a partition at most one is.
bool has_majority(const quota_view& view);

/// The instances that grant an organisation's requests, chosen by rendezvous
/// hashing: all instances compute the same ones from the same members. They
/// are two, so that half of the quota is left when one ends; one where there
/// is a single member.
std::vector<entry_id> quota_owners(const organisation_id& organisation,
                                   const quota_view& view);

} // namespace vanillapost

#endif
