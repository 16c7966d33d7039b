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

/// What an instance tells its peers about twice a second.
struct member_status
{
    member who;
    bool ready = false;   ///< it takes requests
    bool leaving = false; ///< it ends soon
    std::uint64_t configuration_version = 0;
    std::uint64_t state_revision = 0; ///< newest change of the store it has
    bool store_reachable = false;
};

} // namespace vanillapost

#endif
