#ifndef VANILLAPOST_SRC_MEMBERS_MEMBER_HPP
#define VANILLAPOST_SRC_MEMBERS_MEMBER_HPP

#include "../base/identifier.hpp"
#include "../base/store_revision.hpp"

#include <cstdint>
#include <string>

namespace vanillapost {

/// Identity and addresses of an instance. Each address is an IP address with
/// a port.
struct member
{
    entry_id name;
    std::string incarnation; ///< changes with each restart of its process
    data_centre_id data_centre;
    std::string caller_address; ///< where callers connect
    std::string peer_address;   ///< where peers send datagrams
    std::string query_address;  ///< where peers query its state

    bool operator==(const member&) const = default;
};

/// Whether an instance could last reach the platform's store.
enum class store_access
{
    untried, ///< no recent request to the store
    works,
    lost
};

/// Latest revision of each of the platform's tables that an instance knows.
struct state_revisions
{
    std::uint64_t operators = 0; ///< configuration and evacuations
    std::uint64_t targets = 0;

    bool operator==(const state_revisions&) const = default;

    /// Whether `other` has a newer revision of either table.
    bool is_behind(const state_revisions& other) const
    {
        return operators < other.operators || targets < other.targets;
    }

    /// Whether all tables that `other` knows are of a later epoch of the store
    /// (\ref make_revision).
    bool is_of_earlier_epoch(const state_revisions& other) const
    {
        return epoch_of(operators) < epoch_of(other.operators) &&
               (other.targets == 0 ||
                epoch_of(targets) < epoch_of(other.targets));
    }
};

/// Status that an instance sends to its peers periodically.
struct member_heartbeat
{
    entry_id name;
    std::string incarnation;
    bool ready = false;     ///< it accepts requests
    bool leaving = false;   ///< it is about to shut down
    bool following = false; ///< it reads changes from the store itself
    /// It sends heartbeats to only a few peers and answers probes, so that its
    /// silence does not indicate a failure.
    bool is_probed = false;
    /// Targets have announced rate limits, and no caller has sent this instance
    /// a request lately: a share of a rate limit assigned to it would go
    /// unused.
    bool is_idle = false;
    /// It is partitioned from all targets, so callers have to use others.
    bool is_cut_off = false;
    store_access store = store_access::untried;
    state_revisions revisions;
    /// Digest of the members that it considers live; 0 when it sends none.
    std::uint64_t view_digest = 0;
};

} // namespace vanillapost

#endif
