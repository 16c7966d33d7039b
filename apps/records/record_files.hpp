#ifndef VANILLAPOST_APPS_RECORDS_RECORD_FILES_HPP
#define VANILLAPOST_APPS_RECORDS_RECORD_FILES_HPP

#include <string>
#include <vanillapost/operations.hpp>
#include <vector>

namespace vanillapost::records_app {

/// Longest file that is read, in bytes.
inline constexpr std::size_t max_file_bytes = 4 * 1024 * 1024;

/// Reads the record of a file, or the array of records in it.
/// \throws error  when the file cannot be read or a record is refused
std::vector<written_record> read_record_file(const std::string& path);

/// Reads several files; the problems of all of them go into one error.
std::vector<written_record>
read_record_files(const std::vector<std::string>& paths);

/// The `*.json` files of a directory and those below it, sorted.
std::vector<std::string> list_record_files(const std::string& directory);

} // namespace vanillapost::records_app

#endif
