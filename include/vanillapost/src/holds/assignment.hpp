#ifndef VANILLAPOST_SRC_HOLDS_ASSIGNMENT_HPP
#define VANILLAPOST_SRC_HOLDS_ASSIGNMENT_HPP

#include "../membership/instance_list.hpp"
#include "hold_target.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>

namespace vanillapost {

/// Score of an entry for a key; the highest wins (rendezvous hashing).
std::uint64_t rendezvous_score(std::string_view key, const entry_id& entry);

/// Which entry should hold which target.
///
/// Targets go to entries of their own data centre, or to all entries when it
/// has none, by rendezvous hash with bounded load: an entry gets at most the
/// rounded-up mean of a service's targets in a data centre. The result
/// depends on the arguments alone, so processes with the same view agree.
class assignment
{
public:
    assignment() = default;
    assignment(std::span<const hold_target> targets,
               std::span<const listed_instance> entries);

    /// The entry that should hold the target, if there is any entry.
    std::optional<entry_incarnation> desired(const target_id& target) const;

private:
    std::map<target_id, entry_incarnation> desired_;
};

/// The entry that should be successor of a holder: in another data centre if
/// one can be had; absent when there is no other entry.
std::optional<entry_incarnation>
choose_successor(const entry_incarnation& holder,
                 const data_centre_id& holder_centre,
                 std::span<const listed_instance> entries);

} // namespace vanillapost

#endif
