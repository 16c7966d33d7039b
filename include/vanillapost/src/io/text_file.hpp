#ifndef VANILLAPOST_SRC_IO_TEXT_FILE_HPP
#define VANILLAPOST_SRC_IO_TEXT_FILE_HPP

#include <string>
#include <string_view>

namespace vanillapost::io {

/// The whole content of a file.
/// \param step  what it is read for, named in the error
/// \throws error  when it cannot be opened
std::string read_text_file(const std::string& path, std::string_view step);

} // namespace vanillapost::io

#endif
