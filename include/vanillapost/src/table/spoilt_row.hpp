#ifndef VANILLAPOST_SRC_TABLE_SPOILT_ROW_HPP
#define VANILLAPOST_SRC_TABLE_SPOILT_ROW_HPP

#include <string>

namespace vanillapost {

/// A row of an answer that cannot be read, or not as a whole.
struct spoilt_row
{
    std::string key; ///< empty when even that cannot be read
    std::string reason;
};

} // namespace vanillapost

#endif
