#include "vanillapost/src/records/parse_record.hpp"

#include "vanillapost/src/base/duration_text.hpp"
#include "vanillapost/src/base/text_check.hpp"
#include "vanillapost/src/records/field_reader.hpp"

#include <algorithm>
#include <array>

namespace vanillapost {

namespace {

constexpr std::string_view parse_step = "parse record";
constexpr int max_slots = 100'000;
constexpr std::int64_t max_deadline_ms = 60'000;
constexpr std::array<std::string_view, 2> state_names = {"in", "out"};
/// In the order of `request_kind`.
constexpr std::array<std::string_view, 3> class_names = {"lookup", "booking",
                                                         "download"};
constexpr std::string_view name_rule = "1 to 64 of a-z, 0-9, '-' and '_'";
constexpr double max_weight = 1e6;
constexpr int max_attempts = 16;
constexpr int max_priority = 9;
constexpr std::size_t max_parts = 32;

using detail::field_reader;

bool is_name(std::string_view text)
{
    constexpr std::size_t max_name_bytes = 64;
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
               c == '_';
    };
    return !text.empty() && text.size() <= max_name_bytes &&
           std::all_of(text.begin(), text.end(), allowed);
}

template <class Id>
Id read_name(field_reader& reader, std::string_view field)
{
    Id name{reader.text(field)};
    if (!name.empty() && !is_name(name.value))
        reader.problem(field, name.value, name_rule);
    return name;
}

service_state read_state(field_reader& reader)
{
    return static_cast<service_state>(
        reader.choice("state", {state_names[0], state_names[1]}, 0));
}

request_kind read_class(field_reader& reader)
{
    return static_cast<request_kind>(reader.choice(
        "class", {class_names[0], class_names[1], class_names[2]}));
}

std::optional<int> read_limit(field_reader& reader)
{
    auto value = reader.optional_integer("limit", 0, max_slots);
    return value ? std::optional<int>(static_cast<int>(*value)) : std::nullopt;
}

int read_count(field_reader& reader, std::string_view field, int low,
               int fallback)
{
    return static_cast<int>(reader.integer(field, low, max_slots, fallback));
}

duration read_ms(field_reader& reader, std::string_view field, duration value)
{
    using std::chrono::milliseconds;
    const auto fallback =
        std::chrono::duration_cast<milliseconds>(value).count();
    return milliseconds(reader.integer(field, 1, max_deadline_ms, fallback));
}

std::string read_address(field_reader& reader)
{
    auto text = reader.text("address");
    if (!text.empty() && !is_connectable_address(text))
        reader.problem("address", shortened(text),
                       "an IP number and a port to connect to");
    return text;
}

target_record read_target(field_reader& reader, bool first_schema)
{
    target_record value;
    value.name = read_name<target_id>(reader, "name");
    value.service = read_name<service_id>(reader, "service");
    value.data_centre = read_name<data_centre_id>(
        reader, first_schema ? "zone" : "data_centre");
    value.address = read_address(reader);
    value.slots = static_cast<int>(
        reader.integer(first_schema ? "limit" : "slots", 0, max_slots));
    if (first_schema)
        return value;
    value.cold_slots = read_count(reader, "cold_slots", 0, value.cold_slots);
    value.connections = read_count(reader, "connections", 1, value.connections);
    value.state = read_state(reader);
    return value;
}

service_record read_service(field_reader& reader, bool first_schema)
{
    service_record value;
    value.name = read_name<service_id>(reader, "name");
    value.kind = read_class(reader);
    value.deadline = read_ms(
        reader, first_schema ? "timeout_ms" : "deadline_ms", value.deadline);
    if (first_schema)
        return value;
    value.queue_limit = read_count(reader, "queue_limit", 0, value.queue_limit);
    value.limit = read_limit(reader);
    value.availability =
        reader.number("availability", 0.0, 1.0, value.availability);
    value.latency = read_ms(reader, "latency_ms", value.latency);
    return value;
}

data_centre_record read_data_centre(field_reader& reader, bool first_schema)
{
    data_centre_record value;
    value.name = read_name<data_centre_id>(reader, "name");
    if (first_schema) {
        value.state = reader.boolean("enabled", true) ? service_state::in
                                                      : service_state::out;
        return value;
    }
    value.state = read_state(reader);
    value.limit = read_limit(reader);
    return value;
}

std::vector<route_part> read_parts(field_reader& reader)
{
    std::vector<route_part> result;
    const auto* list = reader.child("parts");
    if (!list || !list->is_array() || list->empty() ||
        list->size() > max_parts) {
        reader.problem("parts", "no list", "a list of 1 to 32 parts");
        return result;
    }
    for (std::size_t i = 0; i < list->size(); ++i) {
        field_reader part((*list)[i], "/parts/" + std::to_string(i));
        auto service = read_name<service_id>(part, "service");
        const double weight = part.number("weight", 0.0, max_weight, 1.0);
        part.reject_unknown();
        reader.merge(part);
        result.push_back({std::move(service), weight});
    }
    return result;
}

route_record read_route(field_reader& reader)
{
    route_record value;
    value.name = reader.text("name");
    if (!value.name.empty() && !is_name(value.name))
        reader.problem("name", value.name, name_rule);
    value.host = reader.text("host", "");
    value.prefix = reader.text("prefix");
    if (!value.prefix.starts_with('/') || !value.prefix.ends_with('/'))
        reader.problem("prefix", value.prefix,
                       "a path that begins and ends with a slash");
    value.parts = read_parts(reader);
    value.kind = read_class(reader);
    value.timeout = read_ms(reader, "timeout_ms", value.timeout);
    value.latency = read_ms(reader, "latency_ms", value.latency);
    value.attempts = static_cast<int>(
        reader.integer("attempts", 1, max_attempts, value.attempts));
    value.priority = static_cast<int>(
        reader.integer("priority", 0, max_priority, value.priority));
    return value;
}

struct json_of
{
    nlohmann::json operator()(const target_record& value) const
    {
        return {{"kind", "target"},
                {"name", value.name.value},
                {"service", value.service.value},
                {"data_centre", value.data_centre.value},
                {"address", value.address},
                {"slots", value.slots},
                {"cold_slots", value.cold_slots},
                {"connections", value.connections},
                {"state", state_names[static_cast<int>(value.state)]}};
    }

    nlohmann::json operator()(const service_record& value) const
    {
        nlohmann::json result = {
            {"kind", "service"},
            {"name", value.name.value},
            {"class", class_names[static_cast<int>(value.kind)]},
            {"deadline_ms", to_ms(value.deadline)},
            {"queue_limit", value.queue_limit},
            {"availability", value.availability},
            {"latency_ms", to_ms(value.latency)}};
        if (value.limit)
            result["limit"] = *value.limit;
        return result;
    }

    nlohmann::json operator()(const data_centre_record& value) const
    {
        nlohmann::json result = {
            {"kind", "data_centre"},
            {"name", value.name.value},
            {"state", state_names[static_cast<int>(value.state)]}};
        if (value.limit)
            result["limit"] = *value.limit;
        return result;
    }

    nlohmann::json operator()(const route_record& value) const
    {
        auto parts = nlohmann::json::array();
        for (const auto& part : value.parts)
            parts.push_back(
                {{"service", part.service.value}, {"weight", part.weight}});
        return {{"kind", "route"},
                {"name", value.name},
                {"host", value.host},
                {"prefix", value.prefix},
                {"parts", std::move(parts)},
                {"class", class_names[static_cast<int>(value.kind)]},
                {"timeout_ms", to_ms(value.timeout)},
                {"latency_ms", to_ms(value.latency)},
                {"attempts", value.attempts},
                {"priority", value.priority}};
    }
};

} // namespace

nlohmann::json parse_bounded_json(std::string_view text, std::size_t max_bytes,
                                  std::string_view step, std::string_view peer)
{
    if (text.size() > max_bytes)
        throw error(step, peer,
                    "longer than " + std::to_string(max_bytes) + " bytes");
    // The callback sees every opening bracket before its content is read.
    bool too_deep = false;
    const auto check_depth = [&](int depth, nlohmann::json::parse_event_t,
                                 nlohmann::json&) {
        too_deep = too_deep || depth > max_json_depth;
        return !too_deep;
    };
    nlohmann::json document;
    try {
        document = nlohmann::json::parse(text.begin(), text.end(), check_depth);
    } catch (const nlohmann::json::exception& failure) {
        throw error(step, peer, failure.what());
    }
    if (too_deep)
        throw error(step, peer,
                    "nested deeper than " + std::to_string(max_json_depth) +
                        " levels");
    return document;
}

record parse_record_document(const nlohmann::json& document,
                             std::string_view peer)
{
    field_reader reader(document);
    const bool first_schema = reader.integer("schema", 1, 2) == 1;
    record result;
    switch (
        reader.choice("kind", {"target", "service", "data_centre", "route"})) {
    case 0:
        result = read_target(reader, first_schema);
        break;
    case 1:
        result = read_service(reader, first_schema);
        break;
    case 2:
        result = read_data_centre(reader, first_schema);
        break;
    default:
        // Schema version 1 has no routes.
        if (first_schema)
            reader.problem("kind", "route", "a kind of schema version 1");
        result = read_route(reader);
    }
    reader.finish(parse_step, peer);
    return result;
}

record parse_record(std::string_view text, std::string_view peer)
{
    return parse_record_document(
        parse_bounded_json(text, max_record_bytes, parse_step, peer), peer);
}

nlohmann::json to_json(const record& value)
{
    auto result = std::visit(json_of{}, value);
    result["schema"] = 2;
    return result;
}

} // namespace vanillapost
