#include "vanillapost/src/quotas/quota_messages.hpp"

#include "vanillapost/src/base/error.hpp"
#include "vanillapost/src/base/number_text.hpp"
#include "vanillapost/src/base/text_check.hpp"

namespace vanillapost {

namespace {

using nlohmann::json;

constexpr std::string_view step = "read quota message";
/// Of one message, which has to fit a datagram.
constexpr std::size_t max_organisations = 200;
constexpr std::uint64_t max_time_ms = 60'000;
constexpr std::size_t message_fields = 3;
constexpr std::size_t demand_fields = 3;
constexpr std::size_t grant_fields = 4;

const json& checked_array(const json& value, std::size_t size)
{
    if (!value.is_array() || value.size() != size)
        throw error(step, "", "not a list of the expected length");
    return value;
}

const json& checked_list(const json& value)
{
    if (!value.is_array() || value.size() > max_organisations)
        throw error(step, "", "not a list of organisations, or too long");
    return value;
}

std::string read_name(const json& value)
{
    if (!value.is_string() ||
        !is_name_text(value.get_ref<const std::string&>()))
        throw error(step, "", "not a name");
    return value.get<std::string>();
}

std::uint64_t read_whole(const json& value, std::uint64_t largest)
{
    const bool is_whole = value.is_number_integer() && value >= 0;
    if (!is_whole || value.get<std::uint64_t>() > largest)
        throw error(step, "", "not a whole number in range");
    return value.get<std::uint64_t>();
}

std::uint32_t read_tokens(const json& value)
{
    return static_cast<std::uint32_t>(read_whole(value, max_quota_tokens));
}

duration read_time(const json& value)
{
    return std::chrono::milliseconds(read_whole(value, max_time_ms));
}

std::int64_t in_ms(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

json to_json(const quota_report& report)
{
    json demands = json::array();
    for (const auto& each : report.demands)
        demands.push_back(
            json::array({each.organisation.value, each.wanted, each.returned}));
    return json::array({report.from.value, report.number, std::move(demands)});
}

json to_json(const quota_reply& reply)
{
    json grants = json::array();
    for (const auto& each : reply.grants)
        grants.push_back(
            json::array({each.organisation.value, each.tokens,
                         in_ms(each.lifetime), in_ms(each.ask_again_after)}));
    return json::array({reply.from.value, reply.number, std::move(grants)});
}

quota_report parse_quota_report(const json& message)
{
    checked_array(message, message_fields);
    quota_report report;
    report.from.value = read_name(message[0]);
    report.number = read_whole(message[1], max_exact_whole);
    for (const auto& each : checked_list(message[2])) {
        checked_array(each, demand_fields);
        report.demands.push_back({organisation_id{read_name(each[0])},
                                  read_tokens(each[1]), read_tokens(each[2])});
    }
    return report;
}

quota_reply parse_quota_reply(const json& message)
{
    checked_array(message, message_fields);
    quota_reply reply;
    reply.from.value = read_name(message[0]);
    reply.number = read_whole(message[1], max_exact_whole);
    for (const auto& each : checked_list(message[2])) {
        checked_array(each, grant_fields);
        reply.grants.push_back({organisation_id{read_name(each[0])},
                                read_tokens(each[1]), read_time(each[2]),
                                read_time(each[3])});
    }
    return reply;
}

} // namespace vanillapost
