#ifndef VANILLAPOST_APPS_ROUTER_ROUTER_SETTINGS_HPP
#define VANILLAPOST_APPS_ROUTER_ROUTER_SETTINGS_HPP

#include "vanillapost/attempts.hpp"
#include "vanillapost/base.hpp"
#include "vanillapost/io.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace vanillapost::router {

/// The platform in which the router runs.
enum class platform_kind
{
    records, ///< a table service that holds operators' records
    rows,    ///< the users' platform, see `platform/`
};

/// Settings of one router, from its JSON file.
struct router_settings
{
    std::string name;
    data_centre_id data_centre;
    io::address caller_address;    ///< where callers send requests
    io::address ready_address;     ///< of the readiness path; may be absent
    io::address directory_address; ///< of routers' addresses; may be absent
    io::address query_address;     ///< where peers request state
    io::address peer_address;      ///< of datagrams between peers
    io::address metrics_address;   ///< may be absent
    platform_kind platform = platform_kind::records;
    io::address platform_address;
    std::vector<std::string> seeds; ///< query addresses of some peers
    duration grace_period = std::chrono::seconds(6);
    /// For how long a target goes on serving after the store has acknowledged
    /// that it shuts down.
    duration drain_time = std::chrono::seconds(2);
    /// For how long callers may cache an answer of the directory.
    duration answer_lifetime = std::chrono::seconds(2);
    retry_budget_settings repeats;
    /// Of this process, in 10^6 bytes; by default enough for one body of the
    /// default limit beside everything else.
    double memory_limit_mb = 400;
    /// Of this process; 0 for those that its environment allows.
    std::int64_t descriptor_limit = 0;
    io::log_level log_level = io::log_level::info;
    int log_lines_per_second = 60;
};

/// Bounds of `router_settings::memory_limit_mb`.
inline constexpr double min_memory_limit_mb = 1;
inline constexpr double max_memory_limit_mb = 1e6;
/// Bound of `router_settings::descriptor_limit`.
inline constexpr std::int64_t max_descriptor_limit = 10'000'000;

/// \param file      named in errors
/// \param defaults  for optional fields that are missing
/// \throws field_error  naming every field that is wrong
router_settings parse_router_settings(std::string_view text,
                                      std::string_view file,
                                      const router_settings& defaults = {});

nlohmann::json to_json(const router_settings& settings);

} // namespace vanillapost::router

#endif
