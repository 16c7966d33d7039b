#ifndef VANILLAPOST_SRC_HOLDS_HEARTBEAT_ROW_HPP
#define VANILLAPOST_SRC_HOLDS_HEARTBEAT_ROW_HPP

#include "../base/identifier.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace vanillapost {

/// Row of the table that an entry rewrites to show that it reaches the table.
struct heartbeat_row
{
    std::string incarnation;
    std::uint64_t count = 0;
};

/// Key of an entry's row.
std::string heartbeat_key(const entry_id& name);

/// The row as JSON text.
std::string to_text(const heartbeat_row& row);

/// Reads a row.
///
/// \throws error  when the text is not a heartbeat
heartbeat_row parse_heartbeat_row(std::string_view text);

} // namespace vanillapost

#endif
