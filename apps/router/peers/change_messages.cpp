#include "peers/change_messages.hpp"

#include "peers/gap_repair.hpp"
#include "vanillapost/src/io/detail/cbor.hpp"

#include <array>

namespace vanillapost::router {

namespace {

using io::detail::write_message;
using nlohmann::json;

constexpr std::array<replicated_table, 2> tables = {replicated_table::operators,
                                                    replicated_table::targets};
constexpr const char* missing_field = "missing";
constexpr const char* long_field = "long";

std::string_view table_name(replicated_table table)
{
    return table == replicated_table::operators ? "operators" : "targets";
}

replicated_table parse_table(const json& message)
{
    for (const auto each : tables)
        if (message.at("table") == table_name(each))
            return each;
    throw error("read change", "", "unknown table");
}

std::uint64_t parse_revision(const json& document)
{
    if (!document.is_number_unsigned() || document > max_exact_whole)
        throw error("read repair request", "", "invalid revision");
    return document.get<std::uint64_t>();
}

revision_span parse_span(const json& document)
{
    const revision_span result{parse_revision(document.at(0)),
                               parse_revision(document.at(1))};
    if (result.after >= result.upto)
        throw error("read repair request", "", "empty span of revisions");
    return result;
}

} // namespace

std::string format_change(replicated_table table,
                          const state_difference& change, bool pass_on)
{
    json message = {{"table", table_name(table)},
                    {"change", to_message(change)}};
    if (pass_on)
        message["pass_on"] = true;
    return write_message(message);
}

received_change parse_change(const json& message)
{
    return {parse_table(message), parse_state_difference(message.at("change")),
            message.value("pass_on", false)};
}

std::string format_repair_request(const repair_request& request)
{
    json spans = json::array();
    for (const auto& each : request.spans)
        spans.push_back(json::array({each.after, each.upto}));
    return write_message(
        {{"table", table_name(request.table)}, {missing_field, spans}});
}

std::string format_oversized_change(const oversized_change& notice)
{
    return write_message({{"table", table_name(notice.table)},
                          {long_field, notice.revision},
                          {"pass_on", notice.pass_on}});
}

bool is_oversized_change(const json& message)
{
    return message.contains(long_field);
}

oversized_change parse_oversized_change(const json& message)
{
    return {parse_table(message), parse_revision(message.at(long_field)),
            message.at("pass_on").get<bool>()};
}

bool is_repair_request(const json& message)
{
    return message.contains(missing_field);
}

repair_request parse_repair_request(const json& message)
{
    repair_request result;
    result.table = parse_table(message);
    const auto& spans = message.at(missing_field);
    if (!spans.is_array() || spans.size() > gap_repair::max_spans)
        throw error("read repair request", "",
                    "not a list of spans, or too many of them");
    for (const auto& each : spans) {
        const auto span = parse_span(each);
        const bool in_order =
            result.spans.empty() || result.spans.back().upto <= span.after;
        if (!in_order)
            throw error("read repair request", "", "spans out of order");
        result.spans.push_back(span);
    }
    return result;
}

} // namespace vanillapost::router
