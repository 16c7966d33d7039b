#ifndef VANILLAPOST_SRC_ROUTING_ADDRESS_ADVISOR_HPP
#define VANILLAPOST_SRC_ROUTING_ADDRESS_ADVISOR_HPP

#include "../base/identifier.hpp"
#include "../base/random.hpp"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace vanillapost {

/// An entry that callers could be told of.
struct advised_entry
{
    entry_id name;
    data_centre_id data_centre;
    std::string address; ///< caller-facing IP number and port
    bool leaving = false;
    /// Held slots, without those of targets that are avoided.
    std::map<service_id, int> held_slots;
};

/// Orders the entries that a caller is told of, best first.
///
/// Entries in the caller's data centre that hold targets of the service come
/// first, then entries elsewhere that hold some, then those that hold none.
/// When a data centre's entries hold less than its share of the slots, as many
/// of its callers as it cannot serve are told of the others first, in
/// proportion to what these have to spare; the callers are taken to be spread
/// evenly. Within a group the order is random, weighted by held slots, so that
/// callers spread. An entry that is leaving is never named.
///
/// \return addresses, at most `most`
std::vector<std::string>
advise_addresses(std::span<const advised_entry> entries,
                 const service_id& service, const data_centre_id& caller,
                 std::size_t most, random_engine& random);

} // namespace vanillapost

#endif
