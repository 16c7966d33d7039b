#include "peers/change_messages.hpp"

#include "peers/gap_repair.hpp"
#include "vanillapost/src/io/detail/cbor.hpp"

#include <array>

namespace vanillapost::router {

namespace {

using io::detail::write_message;
using nlohmann::json;

constexpr std::array<shared_table, 2> tables = {shared_table::operators,
                                                shared_table::targets};
constexpr const char* missing_field = "missing";
constexpr const char* long_field = "long";

std::string_view name_of(shared_table table)
{
    return table == shared_table::operators ? "operators" : "targets";
}

shared_table parse_table(const json& message)
{
    for (const auto each : tables)
        if (message.at("table") == name_of(each))
            return each;
    throw error("read change", "", "a table of another name");
}

std::uint64_t parse_bound(const json& document)
{
    if (!document.is_number_unsigned() || document > max_exact_whole)
        throw error("read question", "", "a revision that makes no sense");
    return document.get<std::uint64_t>();
}

revision_span parse_span(const json& document)
{
    const revision_span result{parse_bound(document.at(0)),
                               parse_bound(document.at(1))};
    if (result.after >= result.upto)
        throw error("read question", "", "a span of nothing");
    return result;
}

} // namespace

std::string format_change(shared_table table, const state_difference& change,
                          bool pass_on)
{
    json message = {{"table", name_of(table)}, {"change", to_message(change)}};
    if (pass_on)
        message["pass_on"] = true;
    return write_message(message);
}

told_change parse_change(const json& message)
{
    return {parse_table(message), parse_state_difference(message.at("change")),
            message.value("pass_on", false)};
}

std::string format_question(const change_question& question)
{
    json spans = json::array();
    for (const auto& each : question.spans)
        spans.push_back(json::array({each.after, each.upto}));
    return write_message(
        {{"table", name_of(question.table)}, {missing_field, spans}});
}

std::string format_long_change(const long_change& news)
{
    return write_message({{"table", name_of(news.table)},
                          {long_field, news.revision},
                          {"pass_on", news.pass_on}});
}

bool is_long_change(const json& message)
{
    return message.contains(long_field);
}

long_change parse_long_change(const json& message)
{
    return {parse_table(message), parse_bound(message.at(long_field)),
            message.at("pass_on").get<bool>()};
}

bool is_question(const json& message)
{
    return message.contains(missing_field);
}

change_question parse_question(const json& message)
{
    change_question result;
    result.table = parse_table(message);
    const auto& spans = message.at(missing_field);
    if (!spans.is_array() || spans.size() > gap_repair::max_spans)
        throw error("read question", "", "not a list of a few spans");
    for (const auto& each : spans) {
        const auto span = parse_span(each);
        const bool in_order =
            result.spans.empty() || result.spans.back().upto <= span.after;
        if (!in_order)
            throw error("read question", "", "spans out of order");
        result.spans.push_back(span);
    }
    return result;
}

} // namespace vanillapost::router
