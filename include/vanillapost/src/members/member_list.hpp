#ifndef VANILLAPOST_SRC_MEMBERS_MEMBER_LIST_HPP
#define VANILLAPOST_SRC_MEMBERS_MEMBER_LIST_HPP

#include "member.hpp"

#include <cstddef>
#include <span>
#include <string>

namespace vanillapost {

/// Formats the list of members that an instance stores for instances that know
/// no peers yet: a JSON array, `self` first.
///
/// The size of a row in the store is limited, and a reader of the list needs
/// some live members, not all. When not all fit, the list has the first ones in
/// the order of a hash of their names, so that every data centre is
/// represented.
///
/// \param max_bytes  limit on the length of the text
std::string format_member_list(const member& self,
                               std::span<const member> others,
                               std::size_t max_bytes);

} // namespace vanillapost

#endif
