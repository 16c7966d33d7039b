#include "entry_settings.hpp"

#include "vanillapost/records.hpp"
#include "vanillapost/src/records/field_reader.hpp"

#include <array>

namespace vanillapost::entry {

namespace {

constexpr std::string_view step = "read settings";
constexpr std::size_t max_settings_bytes = 64 * 1024;
constexpr std::int64_t max_interval_ms = 60'000;
constexpr std::int64_t max_body_limit = 64 * 1024 * 1024;
constexpr std::array<std::string_view, 5> placement_names = {
    "holds", "random", "round_robin", "least_reported", "two_choices"};
constexpr std::array<std::string_view, 4> level_names = {"debug", "info",
                                                         "warning", "error"};

std::int64_t to_ms(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

io::address read_address(detail::field_reader& reader, std::string_view field)
{
    const auto text = reader.text(field);
    if (text.empty())
        return {};
    try {
        return io::parse_address(text);
    } catch (const error&) {
        reader.problem(field, text,
                       "an IP number and a port, as in "
                       "\"127.0.0.1:8080\"");
        return {};
    }
}

duration read_ms(detail::field_reader& reader, std::string_view field,
                 duration fallback)
{
    return std::chrono::milliseconds(
        reader.integer(field, 10, max_interval_ms, to_ms(fallback)));
}

} // namespace

entry_settings parse_entry_settings(std::string_view text,
                                    std::string_view file)
{
    const auto document =
        parse_bounded_json(text, max_settings_bytes, step, file);
    detail::field_reader reader(document);
    entry_settings result;
    result.name.value = reader.text("name");
    result.data_centre.value = reader.text("data_centre");
    result.http_address = read_address(reader, "http_address");
    result.mesh_address = read_address(reader, "mesh_address");
    result.platform = read_address(reader, "platform");
    result.placement = static_cast<placement_kind>(reader.choice(
        "placement",
        {placement_names[0], placement_names[1], placement_names[2],
         placement_names[3], placement_names[4]},
        0));
    result.seed =
        static_cast<std::uint64_t>(reader.integer("seed", 0, INT64_MAX, 1));
    result.log_level = static_cast<io::log_level>(reader.choice(
        "log_level",
        {level_names[0], level_names[1], level_names[2], level_names[3]}, 1));
    result.platform_timeout =
        read_ms(reader, "platform_timeout_ms", result.platform_timeout);
    result.records_interval =
        read_ms(reader, "records_interval_ms", result.records_interval);
    result.list_interval =
        read_ms(reader, "list_interval_ms", result.list_interval);
    result.leaving_notice =
        read_ms(reader, "leaving_notice_ms", result.leaving_notice);
    result.max_body_bytes = static_cast<std::size_t>(
        reader.integer("max_body_bytes", 1, max_body_limit,
                       static_cast<std::int64_t>(result.max_body_bytes)));
    result.max_connections = static_cast<int>(reader.integer(
        "max_connections", 1, 1'000'000, result.max_connections));
    reader.finish(step, file);
    return result;
}

nlohmann::json to_json(const entry_settings& settings)
{
    return {
        {"name", settings.name.value},
        {"data_centre", settings.data_centre.value},
        {"http_address", io::to_string(settings.http_address)},
        {"mesh_address", io::to_string(settings.mesh_address)},
        {"platform", io::to_string(settings.platform)},
        {"placement", placement_names[static_cast<int>(settings.placement)]},
        {"seed", settings.seed},
        {"log_level", level_names[static_cast<int>(settings.log_level)]},
        {"platform_timeout_ms", to_ms(settings.platform_timeout)},
        {"records_interval_ms", to_ms(settings.records_interval)},
        {"list_interval_ms", to_ms(settings.list_interval)},
        {"leaving_notice_ms", to_ms(settings.leaving_notice)},
        {"max_body_bytes", settings.max_body_bytes},
        {"max_connections", settings.max_connections}};
}

} // namespace vanillapost::entry
