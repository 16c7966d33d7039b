#ifndef VANILLAPOST_SRC_TABLE_MALFORMED_ROW_HPP
#define VANILLAPOST_SRC_TABLE_MALFORMED_ROW_HPP

#include <string>

namespace vanillapost {

/// A row in an answer of the store that cannot be parsed, at least in part.
struct malformed_row
{
    std::string key; ///< empty when the key cannot be parsed either
    std::string reason;
};

} // namespace vanillapost

#endif
