#ifndef VANILLAPOST_SRC_IO_DETAIL_CBOR_HPP
#define VANILLAPOST_SRC_IO_DETAIL_CBOR_HPP

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace vanillapost::io::detail {

/// Longest message in a datagram.
constexpr std::size_t max_message_bytes = 8 * 1024;

/// Deepest nesting of a message between entries.
constexpr std::size_t max_message_depth = 16;

/// Parses one untrusted message.
/// \throws error  when `bytes` is not one CBOR map with UTF-8 texts, nested
///                at most `max_message_depth` deep, without strings in
///                pieces, or is longer than `max_bytes`
nlohmann::json parse_message(std::string_view bytes,
                             std::size_t max_bytes = max_message_bytes);

/// A message as bytes that `parse_message` reads. Its texts have to be UTF-8;
/// what need not be is a byte string.
std::string write_message(const nlohmann::json& message);

} // namespace vanillapost::io::detail

#endif
