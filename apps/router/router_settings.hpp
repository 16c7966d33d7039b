#ifndef VANILLAPOST_APPS_ROUTER_ROUTER_SETTINGS_HPP
#define VANILLAPOST_APPS_ROUTER_ROUTER_SETTINGS_HPP

#include "vanillapost/attempts.hpp"
#include "vanillapost/base.hpp"
#include "vanillapost/io.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace vanillapost::router {

/// Which platform stands around the router.
enum class platform_kind
{
    records, ///< a table service with operators' records
    rows,    ///< the one that `platform/` speaks to
};

/// Settings of one router, from its JSON file.
struct router_settings
{
    std::string name;
    data_centre_id data_centre;
    io::address caller_address;    ///< where callers send requests
    io::address ready_address;     ///< of readiness; may be absent
    io::address directory_address; ///< of addresses for callers; may be absent
    io::address query_address;     ///< where peers ask for known state
    io::address peer_address;      ///< datagrams of peers
    io::address metrics_address;   ///< may be absent
    platform_kind platform = platform_kind::records;
    io::address platform_address;
    std::vector<std::string> seeds; ///< query addresses of some peers
    duration grace_period = std::chrono::seconds(6);
    /// For so long a target goes on serving after the store acknowledged that
    /// it leaves.
    duration drain_time = std::chrono::seconds(2);
    duration answer_lifetime = std::chrono::seconds(2); ///< of the directory
    repeat_budget_settings repeats;
    io::log_level log_level = io::log_level::info;
    int log_lines_per_second = 60;
};

/// \param file  named in errors
/// \throws field_error  naming every field that is wrong
router_settings parse_router_settings(std::string_view text,
                                      std::string_view file);

nlohmann::json to_json(const router_settings& settings);

} // namespace vanillapost::router

#endif
