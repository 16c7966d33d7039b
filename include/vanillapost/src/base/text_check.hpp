#ifndef VANILLAPOST_SRC_BASE_TEXT_CHECK_HPP
#define VANILLAPOST_SRC_BASE_TEXT_CHECK_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace vanillapost {

/// Longest name of anything that another process names: services, data
/// centres, targets, instances, rows.
inline constexpr std::size_t max_name_bytes = 200;

bool is_utf8(std::string_view text);

/// Whether the text can be written into logs and JSON as it is: UTF-8 without
/// control characters, not empty.
bool is_name_text(std::string_view text,
                  std::size_t max_bytes = max_name_bytes);

/// Whether the text can be written into a header or a request line as it is:
/// visible ASCII without spaces, not empty.
bool is_header_word(std::string_view text,
                    std::size_t max_bytes = max_name_bytes);

/// Whether the text is an IP number with a port that one connection can be
/// made to: not port 0, no unspecified, broadcast or multicast number.
bool is_connectable_address(std::string_view text);

/// The beginning of an untrusted text, for error messages.
std::string shortened(std::string_view text);

} // namespace vanillapost

#endif
