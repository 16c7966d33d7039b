#ifndef VANILLAPOST_SRC_IO_JSON_LOG_HPP
#define VANILLAPOST_SRC_IO_JSON_LOG_HPP

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

/// Sets up log4cplus with JSON lines on standard error.
/// \param program  goes into every line, with `instance`
void start_log(std::string_view program, std::string_view instance,
               log_level lowest);

using log_field = std::pair<std::string_view, std::string>;

/// Writes one line: time, level, message and the fields, of which `step`,
/// `peer` and `request_id` are the usual ones.
void log(log_level level, std::string_view message,
         std::initializer_list<log_field> fields = {});

} // namespace vanillapost::io

#endif
