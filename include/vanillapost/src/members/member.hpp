#ifndef VANILLAPOST_SRC_MEMBERS_MEMBER_HPP
#define VANILLAPOST_SRC_MEMBERS_MEMBER_HPP

#include "../base/identifier.hpp"

#include <cstdint>
#include <string>

namespace vanillapost {

/// How an instance is reached. Addresses are IP numbers with ports.
struct member
{
    entry_id name;
    std::string incarnation; ///< of its process
    data_centre_id data_centre;
    std::string caller_address; ///< where callers connect
    std::string peer_address;   ///< where peers send datagrams
    std::string query_address;  ///< where peers ask for what it knows

    bool operator==(const member&) const = default;
};

/// What an instance last found of the platform's store.
enum class store_access
{
    untried, ///< it has not asked lately
    works,
    lost
};

/// Up to where an instance knows the platform's tables, by revision.
struct state_revisions
{
    std::uint64_t operators = 0; ///< configuration and evacuations
    std::uint64_t targets = 0;

    bool operator==(const state_revisions&) const = default;

    /// Whether `other` knows of changes that are not known here.
    bool is_behind(const state_revisions& other) const
    {
        return operators < other.operators || targets < other.targets;
    }
};

/// What an instance tells its peers again and again.
struct member_heartbeat
{
    entry_id name;
    std::string incarnation;
    bool ready = false;     ///< it takes requests
    bool leaving = false;   ///< it ends soon
    bool following = false; ///< it follows the store itself
    /// It sends heartbeats to few, and answers when it is probed; silence of
    /// such a member means nothing.
    bool is_probed = false;
    /// Targets name rates, and no caller has sent it a request lately: what it
    /// owned of a rate would go unused.
    bool is_idle = false;
    store_access store = store_access::untried;
    state_revisions revisions;
    /// Digest of the members that it takes for live; 0 when it tells none.
    std::uint64_t view = 0;
};

} // namespace vanillapost

#endif
