#ifndef VANILLAPOST_APPS_ROUTER_PLATFORM_LANGUAGE_HPP
#define VANILLAPOST_APPS_ROUTER_PLATFORM_LANGUAGE_HPP

#include "vanillapost/placement.hpp"
#include "vanillapost/routes.hpp"
#include "vanillapost/targets.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace vanillapost::router {

/// Names of headers between callers, this system and targets.
struct header_names
{
    std::string attempt_id;      ///< of a caller's attempt; targets echo it
    std::string deadline_ms;     ///< what is left, in milliseconds
    std::string target_instance; ///< the only target that may run the request
    std::string seal;            ///< proof that a target made the answer
    std::string not_executed;    ///< the target did not run the request
    std::string load;            ///< load report of a target
    std::string instance_id;     ///< of a target, in answers to probes
    std::string cold_left_ms;    ///< how long a target stays cold
};

/// Where the platform's store keeps what the router has to know, and how its
/// rows are read. The functions throw `error` for what they cannot read.
struct row_schema
{
    std::string operator_table;
    std::string target_table;
    std::string member_table;
    std::string configuration_key;
    std::function<configuration(std::string_view text)> read_configuration;
    std::function<listed_target(std::string_view key, std::string_view text)>
        read_target;
    std::function<std::optional<data_centre_id>(std::string_view key)>
        read_evacuation;
};

/// How the platform around the router speaks. The router decides; this names
/// and translates.
struct platform_language
{
    header_names headers;
    row_schema rows;
    std::string readiness_path;
    std::string directory_path;
    std::function<std::optional<load_report>(std::string_view header)>
        read_load;
    /// Body of the directory's answer.
    std::function<std::string(const std::vector<std::string>& addresses,
                              duration lifetime)>
        write_addresses;
    /// Query parameter of the directory's call with the caller's data centre.
    std::string data_centre_parameter;
};

} // namespace vanillapost::router

#endif
