#ifndef VANILLAPOST_APPS_RECORDS_COMMAND_RESULT_HPP
#define VANILLAPOST_APPS_RECORDS_COMMAND_RESULT_HPP

#include "exit_code.hpp"

#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <vanillapost/operations.hpp>

namespace vanillapost::records_app {

/// What a command prints, for a person and as JSON, and ends with.
struct command_result
{
    exit_code code = exit_code::done;
    std::string text;
    nlohmann::json report;
};

/// The difference as indented lines, such as "  /slots: 2 -> 4".
std::string difference_text(std::span<const field_difference> differences);

nlohmann::json difference_json(std::span<const field_difference> differences);

/// The changes that a write would make.
command_result describe_changes(std::span<const record_change> changes);

/// How a write ended; a lost race names the winner of each row and shows how
/// its record differs from the one that was to be written.
command_result describe_outcome(const write_outcome& outcome,
                                const std::string& write_id,
                                std::span<const record_change> changes);

/// A command that could not be carried out.
command_result describe_failure(exit_code code, std::string_view what);

} // namespace vanillapost::records_app

#endif
