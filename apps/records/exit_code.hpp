#ifndef VANILLAPOST_APPS_RECORDS_EXIT_CODE_HPP
#define VANILLAPOST_APPS_RECORDS_EXIT_CODE_HPP

#include <string_view>

namespace vanillapost::records_app {

/// What the command ends with; documented in `--help` and for operators.
enum class exit_code
{
    done = 0,
    refused_record = 1,
    usage = 2,
    lost_race = 3,
    platform_unavailable = 4,
    outcome_unknown = 5,
    not_found = 6,
};

inline constexpr std::string_view exit_code_help =
    "Exit codes:\n"
    "  0  done, or nothing to change\n"
    "  1  a record or file was refused; nothing was written\n"
    "  2  wrong usage\n"
    "  3  lost the race: another write came first; nothing was written\n"
    "  4  the platform is unavailable; nothing was written\n"
    "  5  outcome unknown: the write may have taken effect, or still may\n"
    "  6  there is no such record\n";

} // namespace vanillapost::records_app

#endif
