#include "commands.hpp"
#include "record_files.hpp"

namespace vanillapost::records_app {

namespace {

nlohmann::json row_json(const table_row& row)
{
    nlohmann::json result = {{"key", row.key},
                             {"revision", row.at},
                             {"by", write_author(row.write_id)},
                             {"write_id", row.write_id}};
    try {
        result["record"] =
            parse_bounded_json(*row.value, max_record_bytes, "show", row.key);
    } catch (const error& failure) {
        result["refused"] = failure.what();
    }
    return result;
}

std::string row_line(const table_row& row)
{
    return std::to_string(row.at) + "\t" + row.key + "\t" +
           write_author(row.write_id) + "\t" + *row.value + "\n";
}

} // namespace

command_result commands::list(const std::string& kind)
{
    const std::string prefix =
        kind.empty() ? "records/" : "records/" + kind + "/";
    command_result result;
    result.report = {{"outcome", "done"}, {"rows", nlohmann::json::array()}};
    for (const auto& [key, row] : session_->read_records()) {
        if (!row.value || !key.starts_with(prefix))
            continue;
        result.text += row_line(row);
        result.report["rows"].push_back(row_json(row));
    }
    return result;
}

command_result commands::show(const record_name& name)
{
    const auto key = "records/" + name.kind + "/" + name.name;
    const auto row = session_->read(key);
    if (row.value) {
        const auto report = row_json(row);
        return {exit_code::done, report.dump(2) + "\n", report};
    }
    std::string what = key + " does not exist";
    if (row.at != 0)
        what = key + " was withdrawn by " + write_author(row.write_id) +
               " as revision " + std::to_string(row.at);
    return describe_failure(exit_code::not_found, what);
}

command_result commands::diff(const std::vector<std::string>& files)
{
    const auto wanted = read_record_files(files);
    const auto changes = plan_changes(session_->read_records(), wanted, false);
    auto result = describe_changes(changes);
    if (changes.empty())
        result.text = "no difference\n";
    result.report["outcome"] = changes.empty() ? "unchanged" : "different";
    return result;
}

command_result validate(const std::vector<std::string>& files)
{
    const auto records = read_record_files(files);
    command_result result;
    result.report = {{"outcome", "done"}, {"keys", nlohmann::json::array()}};
    for (const auto& each : records) {
        result.text += each.key + " is valid\n";
        result.report["keys"].push_back(each.key);
    }
    return result;
}

} // namespace vanillapost::records_app
