#include "vanillapost/src/io/detail/platform_codec.hpp"

#include "vanillapost/src/base/error.hpp"

#include <nlohmann/json.hpp>

namespace vanillapost::io::detail {

namespace {

using nlohmann::json;

// Lags beyond it are as good as no list; keeps the sum in range.
constexpr std::uint64_t max_age_ms = 365ULL * 24 * 3600 * 1000;

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

listed_instance read_instance(const json& object)
{
    listed_instance instance;
    instance.who.name.value = read_text(object, "name");
    instance.who.incarnation = read_text(object, "incarnation");
    instance.data_centre.value = read_text(object, "data_centre");
    instance.http_address = read_text(object, "http_address");
    instance.mesh_address = read_text(object, "mesh_address");
    auto state = read_text(object, "state");
    if (state != "live" && state != "leaving")
        throw error("decode platform answer", "state",
                    "expected live or leaving");
    instance.leaving = state == "leaving";
    return instance;
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
        return table_changes{read_number(object, "latest"),
                             read_rows(object.at("rows"))};
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

instance_list parse_instance_list(std::string_view body)
{
    return decode(body, "instances", [](const json& object) {
        instance_list list;
        auto age = std::min(read_number(object, "age_ms"), max_age_ms);
        list.age = std::chrono::milliseconds(age);
        const auto& items = object.at("instances");
        if (!items.is_array())
            throw error("decode platform answer", "instances",
                        "expected an array");
        for (const auto& item : items)
            list.instances.push_back(read_instance(item));
        return list;
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

std::string render_instance(const listed_instance& instance)
{
    return render({{"name", instance.who.name.value},
                   {"incarnation", instance.who.incarnation},
                   {"data_centre", instance.data_centre.value},
                   {"http_address", instance.http_address},
                   {"mesh_address", instance.mesh_address},
                   {"state", instance.leaving ? "leaving" : "live"}});
}

} // namespace vanillapost::io::detail
