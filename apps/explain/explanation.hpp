#ifndef VANILLAPOST_APPS_EXPLAIN_EXPLANATION_HPP
#define VANILLAPOST_APPS_EXPLAIN_EXPLANATION_HPP

#include "log_reader.hpp"

#include <span>

namespace vanillapost::explain {

/// One attempt at a target, as a request's line tells it.
struct told_attempt
{
    std::string target;
    long taken_ms = 0;
    std::string outcome;
};

/// Reads "i-1 12ms answered: 200; i-2 300ms abandoned".
std::vector<told_attempt> parse_attempts(std::string_view text);

/// Why a request ended as it did, in a sentence.
std::string explain_request(const log_line& line);

/// A request's path: its own lines, and before each what the instance last
/// learnt that bears on it.
struct request_path
{
    std::vector<log_line> lines;
    std::string cause; ///< of the last line; "" when there is none
};

request_path find_request(std::span<const log_line> lines,
                          std::string_view request_id);

/// Requests that were not answered in time, of one cause.
struct failure_group
{
    std::string service;
    std::string result;
    std::string reason;
    std::string first; ///< time
    std::string last;
    std::size_t count = 0;
    std::string example; ///< id of the first request
};

/// By count, the most frequent first.
std::vector<failure_group> group_failures(std::span<const log_line> lines);

} // namespace vanillapost::explain

#endif
