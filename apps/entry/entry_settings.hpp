#ifndef VANILLAPOST_APPS_ENTRY_ENTRY_SETTINGS_HPP
#define VANILLAPOST_APPS_ENTRY_ENTRY_SETTINGS_HPP

#include "vanillapost/base.hpp"
#include "vanillapost/io.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace vanillapost::entry {

/// How an entry places requests; all but `holds` are there to compare with.
enum class placement_kind
{
    holds,
    random,
    round_robin,
    least_reported,
    two_choices,
};

/// What an entry is told at its start.
struct entry_settings
{
    entry_id name;
    data_centre_id data_centre;
    io::address http_address;
    io::address mesh_address;
    io::address platform;
    placement_kind placement = placement_kind::holds;
    std::uint64_t seed = 1;
    io::log_level log_level = io::log_level::info;
    duration platform_timeout = std::chrono::milliseconds(1000);
    duration records_interval = std::chrono::milliseconds(500);
    duration list_interval = std::chrono::milliseconds(500);
    duration leaving_notice = std::chrono::milliseconds(2500);
    std::size_t max_body_bytes = 1024 * 1024;
    int max_connections = 4096;
};

/// Parses and checks settings as a whole.
/// \throws field_error  naming every field that is wrong
entry_settings parse_entry_settings(std::string_view text,
                                    std::string_view file);

/// Settings with every field, as an operator would write them.
nlohmann::json to_json(const entry_settings& settings);

} // namespace vanillapost::entry

#endif
