#ifndef VANILLAPOST_SRC_OPERATIONS_WRITE_AUTHOR_HPP
#define VANILLAPOST_SRC_OPERATIONS_WRITE_AUTHOR_HPP

#include "../base/random.hpp"

#include <string>
#include <string_view>

namespace vanillapost {

/// Makes the id of an operator's write: "ops/<user>/<random>".
///
/// \param user  characters other than letters, digits, '.', '-' and '_' are
///              replaced by '_'
std::string make_write_id(std::string_view user, random_engine& random);

/// The operator who made a write, or the whole id when no operator did.
std::string write_author(std::string_view write_id);

} // namespace vanillapost

#endif
