#include "commands.hpp"
#include "record_files.hpp"

#include <algorithm>
#include <utility>

namespace vanillapost::records_app {

namespace {

std::string key_of(const record_name& name)
{
    return "records/" + name.kind + "/" + name.name;
}

bool is_at_expected(const record_change& change, const table_row& row)
{
    const auto standing = row.value ? row.at : 0;
    return standing == change.expected;
}

bool has_target_in(const row_index& rows, const data_centre_id& name)
{
    return std::any_of(rows.begin(), rows.end(), [&](const auto& each) {
        const auto& [key, row] = each;
        if (!row.value || !key.starts_with("records/target/"))
            return false;
        try {
            const auto parsed = parse_record(*row.value, key);
            return std::get<target_record>(parsed).data_centre == name;
        } catch (const error&) {
            return false;
        }
    });
}

bool stands(const row_index& rows, const std::string& key)
{
    const auto found = rows.find(key);
    return found != rows.end() && found->second.value;
}

} // namespace

commands::commands(table_session& session, std::string user, bool dry_run,
                   random_engine random)
    : session_(&session), user_(std::move(user)), dry_run_(dry_run),
      random_(random)
{
}

command_result commands::put(const std::vector<std::string>& files,
                             std::optional<revision> expected)
{
    std::vector<record_change> changes;
    for (auto& each : read_record_files(files))
        changes.push_back({std::move(each.key), expected.value_or(0),
                           std::nullopt, std::move(each.text)});
    if (expected && changes.size() != 1)
        return describe_failure(exit_code::usage,
                                "--expect goes with one record only");
    return write(std::move(changes));
}

command_result commands::replace(const std::string& file,
                                 const expected_revision& expected)
{
    auto records = read_record_file(file);
    if (records.size() != 1)
        return describe_failure(exit_code::usage,
                                "replace takes a file with one record");
    return write_one(records[0].key, expected, records[0].text);
}

command_result commands::withdraw(const record_name& name,
                                  const expected_revision& expected)
{
    return write_one(key_of(name), expected, std::nullopt);
}

command_result commands::write_one(const std::string& key,
                                   const expected_revision& expected,
                                   std::optional<std::string> after)
{
    record_change change{key, expected.at.value_or(0), std::nullopt,
                         std::move(after)};
    if (expected.current) {
        auto row = session_->read(key);
        if (!row.value)
            return describe_failure(exit_code::not_found,
                                    key + " does not exist");
        change.expected = row.at;
        change.before = std::move(row.value);
    }
    return write({std::move(change)});
}

command_result commands::apply(const std::string& directory,
                               bool withdraw_others)
{
    const auto wanted = read_record_files(list_record_files(directory));
    if (wanted.empty())
        return describe_failure(exit_code::refused_record,
                                directory + " holds no record");
    return write(
        plan_changes(session_->read_records(), wanted, withdraw_others));
}

command_result commands::set_data_centre(const std::string& name,
                                         service_state state)
{
    const data_centre_id id{name};
    const auto rows = session_->read_records();
    auto change = plan_data_centre_state(rows, id, state);
    if (!stands(rows, change.key) && !has_target_in(rows, id))
        return describe_failure(exit_code::not_found,
                                "no record and no target names the data "
                                "centre " +
                                    name);
    if (record_difference(change.before, change.after).empty())
        return write({});
    return write({std::move(change)});
}

command_result commands::write(std::vector<record_change> changes)
{
    if (changes.empty())
        return {
            exit_code::done, "nothing to change\n", {{"outcome", "unchanged"}}};
    if (dry_run_)
        return preview(std::move(changes));
    auto transaction = make_transaction(make_write_id(user_, random_), changes);
    const auto write_id = transaction.write_id;
    return describe_outcome(session_->write(std::move(transaction)), write_id,
                            changes);
}

/// Reads each row, so that a dry run sees the conflict that the write would.
command_result commands::preview(std::vector<record_change> changes)
{
    write_lost conflicts;
    const auto rows = session_->read_records();
    for (auto& each : changes) {
        const auto found = rows.find(each.key);
        const auto row = found == rows.end() ? table_row{each.key, 0, {}, {}}
                                             : found->second;
        if (!is_at_expected(each, row))
            conflicts.rows.push_back(row);
        each.before = row.value;
    }
    if (!conflicts.rows.empty())
        return describe_outcome(conflicts, "dry run", changes);
    auto result = describe_changes(changes);
    result.text += "dry run: nothing was written\n";
    result.report["outcome"] = "dry_run";
    return result;
}

} // namespace vanillapost::records_app
