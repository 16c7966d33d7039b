#ifndef VANILLAPOST_STANDINS_TARGET_TARGET_SETTINGS_HPP
#define VANILLAPOST_STANDINS_TARGET_TARGET_SETTINGS_HPP

#include <array>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vanillapost/records.hpp>
#include <vector>

namespace vanillapost::standin {

/// Log-normal distribution of service times.
struct service_time
{
    double median_ms = 10.0;
    double sigma = 0.5; ///< of the logarithm
};

/// What one target is like.
struct target_settings
{
    std::string name = "target";
    std::string service = "service";
    std::string address = "127.0.0.1:0";
    int slots = 2;
    int cold_slots = 1;
    int connections = 200;
    request_kind kind = request_kind::idempotent;
    /// By `request_kind`.
    std::array<service_time, 3> times = {service_time{25.0, 0.5},
                                         service_time{80.0, 0.4},
                                         service_time{20.0, 0.4}};
    std::int64_t file_bytes_per_second = 4 * 1024 * 1024;
    bool starts_cold = false;
    int cold_completions = 20; ///< requests until it is warm
    double cold_factor = 4.0;  ///< how much slower it is while cold
    duration load_lag = std::chrono::milliseconds(500);
    duration connection_cost = std::chrono::milliseconds(1);
    bool shed = true; ///< refuses work over its slots; else it slows down
    std::uint64_t seed = 1;
};

/// Reads a list of targets, each with the fields of \ref target_settings;
/// absent ones are as in `defaults`.
/// \throws field_error  naming what is wrong
std::vector<target_settings> parse_targets(const nlohmann::json& document,
                                           const target_settings& defaults,
                                           const std::string& peer);

/// Makes the targets that operators' records describe.
std::vector<target_settings>
targets_of_records(const std::vector<nlohmann::json>& documents,
                   const target_settings& defaults);

} // namespace vanillapost::standin

#endif
