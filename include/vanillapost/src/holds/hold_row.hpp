#ifndef VANILLAPOST_SRC_HOLDS_HOLD_ROW_HPP
#define VANILLAPOST_SRC_HOLDS_HOLD_ROW_HPP

#include "../base/identifier.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace vanillapost {

/// Prefix of the keys of all hold rows.
inline constexpr std::string_view hold_prefix = "holds/";

/// Row of the table that says who may send work to a target.
struct hold_row
{
    target_id target;

    /// The entry that may send work.
    entry_incarnation holder;

    /// The only entry that may take the hold over while both live.
    std::optional<entry_incarnation> successor = std::nullopt;

    /// An entry that held the target before and may still have work on it.
    std::optional<entry_incarnation> previous = std::nullopt;

    /// Number of the holder, rising with each change of holder.
    std::uint64_t term = 1;

    bool operator==(const hold_row&) const = default;
};

/// Key of a target's row.
std::string hold_key(const target_id& target);

/// The row as JSON text.
std::string to_text(const hold_row& row);

/// Reads a row.
///
/// \throws error  when the text is not a row
hold_row parse_hold_row(std::string_view text);

} // namespace vanillapost

#endif
