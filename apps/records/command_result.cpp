#include "command_result.hpp"

#include <algorithm>

namespace vanillapost::records_app {

namespace {

const record_change* find_change(std::span<const record_change> changes,
                                 const std::string& key)
{
    const auto found =
        std::find_if(changes.begin(), changes.end(),
                     [&](const auto& each) { return each.key == key; });
    return found == changes.end() ? nullptr : &*found;
}

std::string_view verb_of(const record_change& change)
{
    if (!change.after)
        return "withdraw";
    return change.expected == 0 ? "put" : "replace";
}

std::string change_headline(const record_change& change)
{
    std::string line = std::string(verb_of(change)) + " " + change.key;
    if (change.expected != 0)
        line += " at revision " + std::to_string(change.expected);
    return line + "\n";
}

/// A blind write does not know what it replaces.
bool knows_before(const record_change& change)
{
    return change.expected == 0 || change.before;
}

nlohmann::json change_json(const record_change& change)
{
    nlohmann::json result = {{"key", change.key},
                             {"action", verb_of(change)},
                             {"expected", change.expected}};
    if (knows_before(change))
        result["differences"] =
            difference_json(record_difference(change.before, change.after));
    return result;
}

struct winner
{
    table_row row;
    std::vector<field_difference> differences; ///< theirs to ours
};

winner describe_winner(const table_row& row,
                       std::span<const record_change> changes)
{
    const auto* change = find_change(changes, row.key);
    const auto ours = change ? change->after : std::nullopt;
    return {row, record_difference(row.value, ours)};
}

std::string winner_text(const winner& value)
{
    const auto& row = value.row;
    if (row.at == 0)
        return row.key + " does not exist\n";
    const std::string verb = row.value ? "written" : "withdrawn";
    return row.key + " is at revision " + std::to_string(row.at) + ", " + verb +
           " by " + write_author(row.write_id) + " (" + row.write_id + ")\n" +
           difference_text(value.differences);
}

nlohmann::json winner_json(const winner& value)
{
    return {{"key", value.row.key},
            {"revision", value.row.at},
            {"by", write_author(value.row.write_id)},
            {"write_id", value.row.write_id},
            {"withdrawn", !value.row.value},
            {"differences", difference_json(value.differences)}};
}

/// Turns an outcome into what is printed.
struct describe
{
    std::string write_id;
    std::span<const record_change> changes;

    command_result operator()(const write_applied& value) const
    {
        auto result = describe_changes(changes);
        result.text += "written as revision " + std::to_string(value.at) +
                       " (" + write_id + ")\n";
        result.report["outcome"] = "written";
        result.report["revision"] = value.at;
        return result;
    }

    command_result operator()(const write_lost& value) const
    {
        command_result result{
            exit_code::lost_race,
            "lost the race; nothing was written\n",
            {{"outcome", "lost_race"}, {"winners", nlohmann::json::array()}}};
        for (const auto& row : value.rows) {
            const auto each = describe_winner(row, changes);
            result.text += winner_text(each);
            result.report["winners"].push_back(winner_json(each));
        }
        return result;
    }

    command_result operator()(const write_not_made& value) const
    {
        return describe_failure(exit_code::platform_unavailable,
                                "nothing was written: " + value.what);
    }

    command_result operator()(const write_unknown& value) const
    {
        auto result = describe_failure(
            exit_code::outcome_unknown,
            "outcome unknown: " + value.what + "; the write " + write_id +
                " may have taken effect or still may; look with show before "
                "writing again");
        return result;
    }
};

std::string_view outcome_name(exit_code code)
{
    switch (code) {
    case exit_code::refused_record:
        return "refused";
    case exit_code::platform_unavailable:
        return "platform_unavailable";
    case exit_code::outcome_unknown:
        return "unknown";
    case exit_code::not_found:
        return "not_found";
    case exit_code::lost_race:
        return "lost_race";
    case exit_code::usage:
        return "usage";
    case exit_code::done:
        break;
    }
    return "done";
}

} // namespace

std::string difference_text(std::span<const field_difference> differences)
{
    std::string text;
    for (const auto& each : differences) {
        const auto field = each.field.empty() ? "record" : each.field;
        text += "  " + field + ": " + each.before.dump() + " -> " +
                each.after.dump() + "\n";
    }
    return text;
}

nlohmann::json difference_json(std::span<const field_difference> differences)
{
    auto result = nlohmann::json::array();
    for (const auto& each : differences)
        result.push_back({{"field", each.field},
                          {"before", each.before},
                          {"after", each.after}});
    return result;
}

command_result describe_changes(std::span<const record_change> changes)
{
    command_result result;
    result.report = {{"changes", nlohmann::json::array()}};
    for (const auto& each : changes) {
        result.text += change_headline(each);
        if (knows_before(each))
            result.text +=
                difference_text(record_difference(each.before, each.after));
        result.report["changes"].push_back(change_json(each));
    }
    return result;
}

command_result describe_outcome(const write_outcome& outcome,
                                const std::string& write_id,
                                std::span<const record_change> changes)
{
    auto result = std::visit(describe{write_id, changes}, outcome);
    result.report["write_id"] = write_id;
    return result;
}

command_result describe_failure(exit_code code, std::string_view what)
{
    return {code,
            std::string(what) + "\n",
            {{"outcome", outcome_name(code)}, {"detail", what}}};
}

} // namespace vanillapost::records_app
