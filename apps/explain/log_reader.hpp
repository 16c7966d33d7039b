#ifndef VANILLAPOST_APPS_EXPLAIN_LOG_READER_HPP
#define VANILLAPOST_APPS_EXPLAIN_LOG_READER_HPP

#include <istream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillapost::explain {

/// A line of a router's log.
struct log_line
{
    std::string time; ///< RFC 3339 in UTC
    std::string instance;
    std::string event;
    nlohmann::json fields; ///< all of them, texts

    /// The text of a field, or "".
    std::string field(std::string_view name) const;
};

/// Reads one line; text before the first brace is skipped, such as what a log
/// collector puts there. Nothing for a line that is none of a router.
std::optional<log_line> parse_log_line(std::string_view text);

/// What was read from some files.
struct log_contents
{
    std::vector<log_line> lines; ///< by time
    std::size_t unreadable = 0;  ///< lines that are not of a router
};

/// Adds the lines of a file; call `sort_lines` at the end.
void read_log(std::istream& input, log_contents& into);

void sort_lines(log_contents& contents);

} // namespace vanillapost::explain

#endif
