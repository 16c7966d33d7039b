#include "platform_messages.hpp"

#include <charconv>
#include <limits>
#include <set>
#include <vanillapost/records.hpp>
#include <vanillapost/src/records/field_reader.hpp>

namespace vanillapost::standin {

namespace {

constexpr std::size_t max_body_bytes = 1024 * 1024;
constexpr std::string_view step = "platform call";
constexpr auto max_revision = std::numeric_limits<std::int64_t>::max();

table_operation parse_operation(const nlohmann::json& document)
{
    detail::field_reader reader(document);
    table_operation result;
    result.key = reader.text("key");
    result.expected =
        static_cast<revision>(reader.integer("expected", 0, max_revision));
    result.what = static_cast<table_operation::action>(
        reader.choice("action", {"check", "put", "erase"}));
    const auto* value = reader.child("value");
    if (result.what == table_operation::action::put) {
        if (value && value->is_string())
            result.value = value->get<std::string>();
        else
            reader.problem("value", "no text", "a text");
    }
    reader.finish(step, result.key);
    return result;
}

} // namespace

revision parse_revision(const std::string& text)
{
    revision result = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, result);
    if (!text.empty() && (parsed.ec != std::errc{} || parsed.ptr != end))
        throw error(step, text, "no revision");
    return result;
}

std::uint64_t parse_restore(const nlohmann::json& command)
{
    detail::field_reader reader(command);
    const auto revisions = reader.integer("revisions", 0, max_revision);
    reader.finish(step, "restore");
    return static_cast<std::uint64_t>(revisions);
}

table_transaction parse_transaction(std::string_view text)
{
    const auto document = parse_bounded_json(text, max_body_bytes, step, "");
    detail::field_reader reader(document);
    table_transaction result;
    result.write_id = reader.text("write_id");
    const auto* operations = reader.child("operations");
    if (!operations || !operations->is_array() || operations->empty())
        reader.problem("operations", "no list", "a list that is not empty");
    reader.finish(step, result.write_id);
    std::set<std::string> keys;
    for (const auto& operation : *operations) {
        result.operations.push_back(parse_operation(operation));
        if (!keys.insert(result.operations.back().key).second)
            throw error(step, result.write_id, "a key stands twice");
    }
    return result;
}

} // namespace vanillapost::standin
