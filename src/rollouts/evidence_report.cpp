#include "vanillapost/src/base/error.hpp"
#include "vanillapost/src/base/number_text.hpp"
#include "vanillapost/src/base/text_check.hpp"
#include "vanillapost/src/rollouts/rollout_evidence.hpp"

#include <algorithm>

namespace vanillapost {

namespace {

using nlohmann::json;

constexpr std::string_view step = "read rollout evidence";
constexpr std::size_t field_count = 11;
constexpr std::size_t route_field_count = 2 + target_group_count;
/// So that the sum over all reporters stays in range.
constexpr std::uint64_t max_count = std::uint64_t{1} << 40;
/// Longest age of an order in a report, in milliseconds: a year.
constexpr std::uint64_t max_age_ms = std::uint64_t{365} * 24 * 3600 * 1000;

std::uint64_t read_whole(const json& value, std::uint64_t max, const char* what)
{
    const bool is_whole = value.is_number_integer() && value >= 0;
    if (!is_whole || value.get<std::uint64_t>() > max)
        throw error(step, what, "not a whole number in range");
    return value.get<std::uint64_t>();
}

std::string read_name(const json& value, const char* what)
{
    if (!value.is_string() ||
        !is_name_text(value.get_ref<const std::string&>()))
        throw error(step, what, "not a name");
    return value.get<std::string>();
}

/// Bad answers, the first bucket that isn't empty, and the buckets from there
/// to the last one that isn't.
json counts_to_json(const version_counts& counts)
{
    const auto& buckets = counts.latencies;
    const auto filled = [](std::uint64_t count) { return count != 0; };
    const auto first = std::ranges::find_if(buckets, filled);
    const auto last =
        std::find_if(buckets.rbegin(), buckets.rend(), filled).base();
    auto result = json::array({counts.bad});
    if (first == buckets.end())
        return result;
    result.push_back(first - buckets.begin());
    for (auto bucket = first; bucket != last; ++bucket)
        result.push_back(*bucket);
    return result;
}

version_counts read_counts(const json& value)
{
    if (!value.is_array() || value.empty())
        throw error(step, "counts", "not an array of numbers");
    version_counts counts;
    counts.bad = read_whole(value[0], max_count, "bad answers");
    if (value.size() == 1)
        return counts;
    const auto first = static_cast<std::size_t>(
        read_whole(value[1], latency_bucket_count, "first bucket"));
    if (first + value.size() - 2 > latency_bucket_count)
        throw error(step, "counts", "more buckets than there are");
    for (std::size_t i = 2; i < value.size(); ++i) {
        const auto count = read_whole(value[i], max_count, "bucket");
        counts.latencies.at(first + i - 2) = count;
        counts.good += count;
    }
    return counts;
}

json route_to_json(const std::string& name, const route_evidence& evidence)
{
    auto result = json::array({name, counts_to_json(evidence.current)});
    for (const auto& group : evidence.target)
        result.push_back(counts_to_json(group));
    return result;
}

void read_route(const json& value, route_evidence_map& routes)
{
    if (!value.is_array() || value.size() < route_field_count)
        throw error(step, "route", "not a name with counts");
    route_evidence evidence;
    evidence.current = read_counts(value[1]);
    for (std::size_t i = 0; i < target_group_count; ++i)
        evidence.target.at(i) = read_counts(value[2 + i]);
    routes.insert_or_assign(read_name(value[0], "route"), evidence);
}

} // namespace

json to_json(const evidence_report& report)
{
    auto routes = json::array();
    for (const auto& [name, evidence] : report.routes)
        routes.push_back(route_to_json(name, evidence));
    return json::array({report.instance.name.value, report.instance.incarnation,
                        report.service.value, report.order_revision,
                        report.sequence,
                        report.order_age / std::chrono::milliseconds(1),
                        report.sent_to_current, report.sent_to_target,
                        report.in_flight_at_current, report.directive_version,
                        std::move(routes)});
}

evidence_report parse_evidence_report(const json& message)
{
    if (!message.is_array() || message.size() < field_count ||
        !message[10].is_array() || message[10].size() > max_evidence_routes + 1)
        throw error(step, "", "not an instance with counts");
    evidence_report report;
    report.instance.name.value = read_name(message[0], "instance");
    report.instance.incarnation = read_name(message[1], "incarnation");
    report.service.value = read_name(message[2], "service");
    report.order_revision = read_whole(message[3], max_exact_whole, "order");
    report.sequence = read_whole(message[4], max_exact_whole, "sequence");
    report.order_age =
        std::chrono::milliseconds(read_whole(message[5], max_age_ms, "age"));
    report.sent_to_current = read_whole(message[6], max_count, "sent");
    report.sent_to_target = read_whole(message[7], max_count, "sent");
    report.in_flight_at_current = read_whole(message[8], max_count, "waiting");
    report.directive_version =
        read_whole(message[9], max_exact_whole, "directive");
    for (const auto& route : message[10])
        read_route(route, report.routes);
    return report;
}

} // namespace vanillapost
