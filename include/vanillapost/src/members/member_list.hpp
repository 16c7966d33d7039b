#ifndef VANILLAPOST_SRC_MEMBERS_MEMBER_LIST_HPP
#define VANILLAPOST_SRC_MEMBERS_MEMBER_LIST_HPP

#include "member.hpp"

#include <cstddef>
#include <span>
#include <string>

namespace vanillapost {

/// The members as one of them leaves them in the store, for instances that know
/// none: JSON, an array.
///
/// A row of the store is bounded, and whoever reads the list needs some live
/// members, not all. Of too many it has the first in an order by hash, which
/// are of every data centre. \param max_bytes  that the text may have
std::string format_member_list(const member& self,
                               std::span<const member> others,
                               std::size_t max_bytes);

} // namespace vanillapost

#endif
