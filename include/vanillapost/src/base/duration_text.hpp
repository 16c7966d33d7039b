#ifndef VANILLAPOST_SRC_BASE_DURATION_TEXT_HPP
#define VANILLAPOST_SRC_BASE_DURATION_TEXT_HPP

#include "time.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace vanillapost {

/// Reads "1500ms" or "2.5s"; nothing for any other text.
std::optional<duration> parse_duration(std::string_view text);

/// As whole milliseconds, such as "1500ms".
std::string format_duration(duration value);

/// The whole milliseconds in a time.
std::int64_t to_ms(duration value);

} // namespace vanillapost

#endif
