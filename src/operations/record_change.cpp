#include "vanillapost/src/operations/record_change.hpp"

#include "vanillapost/src/operations/record_difference.hpp"
#include "vanillapost/src/records/parse_record.hpp"

#include <set>
#include <utility>

namespace vanillapost {

namespace {

/// A deleted row is replaced as if there were none.
revision expected_of(const table_row* row)
{
    return row && row->value ? row->at : 0;
}

const table_row* find_row(const row_index& rows, std::string_view key)
{
    const auto found = rows.find(key);
    return found == rows.end() ? nullptr : &found->second;
}

record_change change_to(const row_index& current, std::string key,
                        std::optional<std::string> after)
{
    const auto* row = find_row(current, key);
    record_change change{std::move(key), expected_of(row), std::nullopt,
                         std::move(after)};
    if (row)
        change.before = row->value;
    return change;
}

} // namespace

written_record check_record(const nlohmann::json& document,
                            std::string_view peer)
{
    return {record_key(parse_record_document(document, peer)), document.dump()};
}

row_index index_rows(std::span<const table_row> rows)
{
    row_index result;
    for (const auto& row : rows)
        result[row.key] = row;
    return result;
}

std::vector<record_change> plan_changes(const row_index& current,
                                        std::span<const written_record> wanted,
                                        bool withdraw_others)
{
    std::vector<record_change> changes;
    std::set<std::string, std::less<>> named;
    for (const auto& each : wanted) {
        if (!named.insert(each.key).second)
            throw error("plan changes", each.key, "the record is given twice");
        auto change = change_to(current, each.key, each.text);
        if (!record_difference(change.before, change.after).empty())
            changes.push_back(std::move(change));
    }
    if (!withdraw_others)
        return changes;
    for (const auto& [key, row] : current) {
        if (row.value && !named.contains(key))
            changes.push_back(change_to(current, key, std::nullopt));
    }
    return changes;
}

record_change plan_data_centre_state(const row_index& current,
                                     const data_centre_id& name,
                                     service_state state)
{
    data_centre_record value{.name = name, .state = state, .limit = {}};
    const auto key = record_key(value);
    const auto* row = find_row(current, key);
    if (row && row->value) {
        value = std::get<data_centre_record>(parse_record(*row->value, key));
        value.state = state;
    }
    return change_to(current, key, to_json(value).dump());
}

table_transaction make_transaction(std::string write_id,
                                   std::span<const record_change> changes)
{
    table_transaction result{std::move(write_id), {}};
    for (const auto& each : changes) {
        using action = table_operation::action;
        result.operations.push_back({each.key, each.expected,
                                     each.after ? action::put : action::erase,
                                     each.after.value_or("")});
    }
    return result;
}

} // namespace vanillapost
