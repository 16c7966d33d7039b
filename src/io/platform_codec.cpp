#include "vanillapost/src/io/detail/platform_codec.hpp"

#include "vanillapost/src/base/error.hpp"
#include "vanillapost/src/base/text_check.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillapost::io::detail {

namespace {

using nlohmann::json;

constexpr std::size_t max_key_bytes = 512;

/// Calls `read` with the parsed body; any failure becomes an `error`.
template <class Read>
auto decode(std::string_view body, std::string_view what, Read read)
{
    try {
        return read(json::parse(body));
    } catch (const json::exception& failure) {
        throw error("decode platform answer", what, failure.what());
    }
}

std::uint64_t read_number(const json& object, const char* name)
{
    const auto& value = object.at(name);
    if (!value.is_number_unsigned())
        throw error("decode platform answer", name,
                    "expected a whole number, not negative");
    return value.get<std::uint64_t>();
}

std::string read_text(const json& object, const char* name)
{
    return object.at(name).get<std::string>();
}

std::string read_optional_text(const json& object, const char* name)
{
    auto found = object.find(name);
    bool present = found != object.end() && !found->is_null();
    return present ? found->get<std::string>() : std::string();
}

table_row read_row(const json& object)
{
    table_row row;
    row.key = read_text(object, "key");
    row.at = read_number(object, "revision");
    row.write_id = read_optional_text(object, "write_id");
    auto value = object.find("value");
    if (value != object.end() && !value->is_null())
        row.value = value->get<std::string>();
    return row;
}

std::vector<table_row> read_rows(const json& list)
{
    if (!list.is_array())
        throw error("decode platform answer", "rows", "expected an array");
    std::vector<table_row> rows;
    for (const auto& item : list)
        rows.push_back(read_row(item));
    return rows;
}

/// The key of a row of which something else cannot be read; empty when it
/// cannot be read either.
std::string read_spoilt_key(const json& row)
{
    if (!row.is_object())
        return "";
    const auto found = row.find("key");
    if (found == row.end() || !found->is_string())
        return "";
    const auto& text = found->get_ref<const std::string&>();
    return is_name_text(text, max_key_bytes) ? text : "";
}

table_row read_listed_row(const json& object, revision latest)
{
    auto row = read_row(object);
    if (!is_name_text(row.key, max_key_bytes))
        throw error("decode platform answer", "key",
                    "expected a text without control characters");
    if (row.at == 0)
        throw error("decode platform answer", "revision", "expected one");
    // It is not newer than the answer: changes up to there are not told again.
    row.at = std::min(row.at, latest);
    return row;
}

// One row that cannot be read leaves the others as they are: it would be in
// every answer to come.
void take_row(const json& object, table_changes& into)
{
    std::string reason;
    try {
        into.rows.push_back(read_listed_row(object, into.latest));
        return;
    } catch (const std::exception& failure) {
        reason = failure.what();
    }
    auto key = read_spoilt_key(object);
    if (!key.empty())
        into.rows.push_back({key, into.latest, "", ""});
    into.malformed_rows.push_back({std::move(key), std::move(reason)});
}

const char* action_name(table_operation::action what)
{
    switch (what) {
    case table_operation::action::check:
        return "check";
    case table_operation::action::put:
        return "put";
    case table_operation::action::erase:
        break;
    }
    return "erase";
}

std::string render(const json& value)
{
    try {
        return value.dump();
    } catch (const json::exception& failure) {
        throw error("encode platform request", "", failure.what());
    }
}

} // namespace

table_row parse_row(std::string_view body)
{
    return decode(body, "row", read_row);
}

table_changes parse_changes(std::string_view body)
{
    return decode(body, "changes", [](const json& object) {
        table_changes result;
        result.latest = read_number(object, "latest");
        const auto& rows = object.at("rows");
        if (!rows.is_array())
            throw error("decode platform answer", "rows", "expected an array");
        for (const auto& row : rows)
            take_row(row, result);
        return result;
    });
}

transaction_done parse_transaction_done(std::string_view body)
{
    return decode(body, "transaction", [](const json& object) {
        return transaction_done{read_number(object, "revision")};
    });
}

transaction_conflict parse_transaction_conflict(std::string_view body)
{
    return decode(body, "conflict", [](const json& object) {
        return transaction_conflict{read_rows(object.at("conflicts"))};
    });
}

std::string render_transaction(const table_transaction& transaction)
{
    json operations = json::array();
    for (const auto& operation : transaction.operations) {
        json item{{"key", operation.key},
                  {"expected", operation.expected},
                  {"action", action_name(operation.what)}};
        if (operation.what == table_operation::action::put)
            item["value"] = operation.value;
        operations.push_back(std::move(item));
    }
    return render({{"write_id", transaction.write_id},
                   {"operations", std::move(operations)}});
}

} // namespace vanillapost::io::detail
