#ifndef VANILLAPOST_SRC_IO_DETAIL_CBOR_HPP
#define VANILLAPOST_SRC_IO_DETAIL_CBOR_HPP

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

namespace vanillapost::io::detail {

/// Longest message. The library reads the pieces of a text within each other,
/// so that the depth of its stack is bounded by this alone.
constexpr std::size_t max_message_bytes = 8 * 1024;

/// Deepest nesting of a message between entries.
constexpr std::size_t max_message_depth = 16;

/// Parses one untrusted message.
/// \throws error  when `bytes` is not one CBOR map with UTF-8 texts, nested
///                at most `max_message_depth` deep
nlohmann::json parse_message(std::string_view bytes);

} // namespace vanillapost::io::detail

#endif
