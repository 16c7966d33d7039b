#ifndef VANILLAPOST_SRC_MEMBERS_ADDRESS_CHOICE_HPP
#define VANILLAPOST_SRC_MEMBERS_ADDRESS_CHOICE_HPP

#include "../base/random.hpp"
#include "member.hpp"

#include <span>
#include <string>
#include <vector>

namespace vanillapost {

/// Addresses that a caller is told at most.
inline constexpr std::size_t max_told_addresses = 64;

/// The addresses to tell a caller in that data centre: of the ready instances
/// there, since bytes between data centres are dear and slow; of all others
/// when there is none. Of more than can be told, a random selection.
///
/// \param ready  instances that take requests, the one that answers included
///               if it does
std::vector<std::string> choose_addresses(std::span<const member> ready,
                                          const data_centre_id& data_centre,
                                          random_engine& random);

} // namespace vanillapost

#endif
