#ifndef VANILLAPOST_SRC_MEMBERS_ADDRESS_SELECTION_HPP
#define VANILLAPOST_SRC_MEMBERS_ADDRESS_SELECTION_HPP

#include "../base/random.hpp"
#include "member.hpp"

#include <span>
#include <string>
#include <vector>

namespace vanillapost {

/// Most addresses that one answer to a caller may list.
inline constexpr std::size_t max_returned_addresses = 64;

/// Selects the addresses to return to a caller in `data_centre`: those of the
/// ready instances there, since traffic between data centres is expensive and
/// slow, or of all other ready instances when it has none. Of more than
/// \ref max_returned_addresses, a random sample is returned.
///
/// \param ready  instances that accept requests, including this one if it does
std::vector<std::string> select_addresses(std::span<const member> ready,
                                          const data_centre_id& data_centre,
                                          random_engine& random);

} // namespace vanillapost

#endif
