#ifndef VANILLAPOST_APPS_RECORDS_COMMANDS_HPP
#define VANILLAPOST_APPS_RECORDS_COMMANDS_HPP

#include "command_result.hpp"
#include "table_session.hpp"

#include <optional>
#include <string>
#include <vanillapost/records.hpp>
#include <vector>

namespace vanillapost::records_app {

/// Which revision a write replaces.
struct expected_revision
{
    std::optional<revision> at;
    bool current = false; ///< the one in force when the command looks
};

/// A record as named on the command line.
struct record_name
{
    std::string kind;
    std::string name;
};

/// The commands that read or write the table.
class commands
{
public:
    /// \param dry_run  show what a write would change, and write nothing
    commands(table_session& session, std::string user, bool dry_run,
             random_engine random);

    command_result put(const std::vector<std::string>& files,
                       std::optional<revision> expected);
    command_result replace(const std::string& file,
                           const expected_revision& expected);
    command_result withdraw(const record_name& name,
                            const expected_revision& expected);
    command_result apply(const std::string& directory, bool withdraw_others);
    command_result set_data_centre(const std::string& name,
                                   service_state state);
    command_result list(const std::string& kind);
    command_result show(const record_name& name);
    command_result diff(const std::vector<std::string>& files);

private:
    command_result write(std::vector<record_change> changes);
    command_result write_one(const std::string& key,
                             const expected_revision& expected,
                             std::optional<std::string> after);
    command_result preview(std::vector<record_change> changes);

    table_session* session_;
    std::string user_;
    bool dry_run_;
    random_engine random_;
};

/// Checks files without the platform.
command_result validate(const std::vector<std::string>& files);

} // namespace vanillapost::records_app

#endif
