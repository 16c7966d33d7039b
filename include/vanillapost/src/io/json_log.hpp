#ifndef VANILLAPOST_SRC_IO_JSON_LOG_HPP
#define VANILLAPOST_SRC_IO_JSON_LOG_HPP

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace vanillapost::io {

enum class log_level
{
    debug,
    info,
    warning,
    error
};

enum class log_output
{
    standard_error,
    /// Never blocks: lines that the reader has no room for are left out.
    standard_output
};

/// Sets up log4cplus with JSON lines.
/// \param program  goes into every line, with `instance`
void start_log(std::string_view program, std::string_view instance,
               log_level lowest,
               log_output output = log_output::standard_error);

/// Changes the lowest level that is written.
void set_log_level(log_level lowest);

/// Lines that were left out since their reader was too slow.
std::uint64_t lost_log_lines();

using log_field = std::pair<std::string_view, std::string>;

/// Writes one line: time, level, message and the fields, of which `step`,
/// `peer` and `request_id` are the usual ones.
void log(log_level level, std::string_view message,
         std::initializer_list<log_field> fields = {});

} // namespace vanillapost::io

#endif
