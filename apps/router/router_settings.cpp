#include "router_settings.hpp"

#include "vanillapost/base.hpp"
#include "vanillapost/records.hpp"
#include "vanillapost/src/records/field_reader.hpp"

#include <array>

namespace vanillapost::router {

namespace {

constexpr std::string_view step = "read settings";
constexpr std::size_t max_settings_bytes = 64 * 1024;
constexpr double max_repeat_allowance = 1e6;
constexpr std::int64_t max_log_lines = 100'000;
constexpr duration min_repeat_window = std::chrono::milliseconds(100);
constexpr std::array<std::string_view, 2> platform_names = {"records", "rows"};
constexpr std::array<std::string_view, 4> level_names = {"debug", "info",
                                                         "warning", "error"};

duration read_duration(detail::field_reader& reader, std::string_view field,
                       duration fallback)
{
    const auto text = reader.text(field, "");
    if (text.empty())
        return fallback;
    const auto value = parse_duration(text);
    if (!value)
        reader.problem(field, text, "a time such as \"1500ms\" or \"2.5s\"");
    return value.value_or(fallback);
}

constexpr std::string_view address_format =
    "an IP number and a port, as in \"127.0.0.1:8080\"";

/// Reads an address to listen on; empty if the field is missing.
io::address read_listen_address(detail::field_reader& reader,
                                std::string_view field)
{
    const auto text = reader.text(field, "");
    if (text.empty())
        return {};
    try {
        return io::parse_address(text);
    } catch (const error&) {
        reader.problem(field, shortened(text), address_format);
        return {};
    }
}

/// Reads an address that others connect to, or to which this instance connects.
io::address read_connectable_address(detail::field_reader& reader,
                                     std::string_view field)
{
    const auto text = reader.text(field);
    if (text.empty())
        return {};
    if (is_connectable_address(text))
        return io::parse_address(text);
    reader.problem(field, shortened(text), address_format);
    return {};
}

std::string read_name(detail::field_reader& reader, std::string_view field)
{
    const auto text = reader.text(field);
    if (!text.empty() && !is_name_text(text))
        reader.problem(field, shortened(text),
                       "1 to 200 bytes without control characters");
    return text;
}

std::string optional_text(const io::address& address)
{
    return address.ip.empty() ? "" : io::to_string(address);
}

std::vector<std::string> read_seeds(detail::field_reader& reader)
{
    std::vector<std::string> result;
    const auto* list = reader.child("seeds");
    if (!list)
        return result;
    if (!list->is_array())
        reader.problem("seeds", "other JSON", "a list of addresses");
    for (const auto& each : *list) {
        const auto text = each.is_string() ? each.get<std::string>() : "?";
        if (is_connectable_address(text))
            result.push_back(text);
        else if (!text.empty())
            reader.problem("seeds", shortened(text), address_format);
    }
    return result;
}

// The window is divided into slices, so it must not be too short for them.
duration read_repeat_window(detail::field_reader& reader, duration fallback)
{
    const auto value = read_duration(reader, "repeat_window", fallback);
    if (value >= min_repeat_window)
        return value;
    reader.problem("repeat_window", format_duration(value),
                   "at least " + format_duration(min_repeat_window));
    return fallback;
}

} // namespace

router_settings parse_router_settings(std::string_view text,
                                      std::string_view file,
                                      const router_settings& defaults)
{
    const auto document =
        parse_bounded_json(text, max_settings_bytes, step, file);
    detail::field_reader reader(document);
    router_settings result = defaults;
    result.name = read_name(reader, "name");
    result.data_centre.value = read_name(reader, "data_centre");
    result.caller_address = read_connectable_address(reader, "caller_address");
    result.ready_address = read_listen_address(reader, "ready_address");
    result.directory_address = read_listen_address(reader, "directory_address");
    result.query_address = read_connectable_address(reader, "query_address");
    result.peer_address = read_connectable_address(reader, "peer_address");
    result.metrics_address = read_listen_address(reader, "metrics_address");
    result.platform = static_cast<platform_kind>(
        reader.choice("platform", {platform_names[0], platform_names[1]}, 0));
    result.platform_address =
        read_connectable_address(reader, "platform_address");
    result.seeds = read_seeds(reader);
    result.grace_period =
        read_duration(reader, "grace_period", result.grace_period);
    result.drain_time = read_duration(reader, "drain_time", result.drain_time);
    result.answer_lifetime =
        read_duration(reader, "answer_lifetime", result.answer_lifetime);
    result.repeats.ratio =
        reader.number("repeat_ratio", 0, 1, result.repeats.ratio);
    result.repeats.allowance = reader.number(
        "repeat_allowance", 0, max_repeat_allowance, result.repeats.allowance);
    result.repeats.window = read_repeat_window(reader, result.repeats.window);
    result.memory_limit_mb =
        reader.number("memory_limit_mb", min_memory_limit_mb,
                      max_memory_limit_mb, result.memory_limit_mb);
    result.descriptor_limit = reader.integer(
        "descriptor_limit", 0, max_descriptor_limit, result.descriptor_limit);
    result.log_level = static_cast<io::log_level>(reader.choice(
        "log_level",
        {level_names[0], level_names[1], level_names[2], level_names[3]}, 1));
    result.log_lines_per_second = static_cast<int>(reader.integer(
        "log_lines_per_second", 0, max_log_lines, result.log_lines_per_second));
    reader.finish(step, file);
    return result;
}

nlohmann::json to_json(const router_settings& settings)
{
    return {{"name", settings.name},
            {"data_centre", settings.data_centre.value},
            {"caller_address", io::to_string(settings.caller_address)},
            {"ready_address", optional_text(settings.ready_address)},
            {"directory_address", optional_text(settings.directory_address)},
            {"query_address", io::to_string(settings.query_address)},
            {"peer_address", io::to_string(settings.peer_address)},
            {"metrics_address", optional_text(settings.metrics_address)},
            {"platform", platform_names[static_cast<int>(settings.platform)]},
            {"platform_address", io::to_string(settings.platform_address)},
            {"seeds", settings.seeds},
            {"grace_period", format_duration(settings.grace_period)},
            {"drain_time", format_duration(settings.drain_time)},
            {"answer_lifetime", format_duration(settings.answer_lifetime)},
            {"repeat_ratio", settings.repeats.ratio},
            {"repeat_allowance", settings.repeats.allowance},
            {"repeat_window", format_duration(settings.repeats.window)},
            {"memory_limit_mb", settings.memory_limit_mb},
            {"descriptor_limit", settings.descriptor_limit},
            {"log_level", level_names[static_cast<int>(settings.log_level)]},
            {"log_lines_per_second", settings.log_lines_per_second}};
}

} // namespace vanillapost::router
