#ifndef VANILLAPOST_APPS_ROUTER_ADAPTERS_PLATFORM_ADAPTER_HPP
#define VANILLAPOST_APPS_ROUTER_ADAPTERS_PLATFORM_ADAPTER_HPP

#include "vanillapost/placement.hpp"
#include "vanillapost/routes.hpp"
#include "vanillapost/src/io/http_message.hpp"
#include "vanillapost/src/io/row_store.hpp"
#include "vanillapost/targets.hpp"

#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace vanillapost::router {

/// Names of the headers that callers, this system and targets exchange.
struct header_names
{
    std::string attempt_id;  ///< identifies a caller's attempt; targets echo it
    std::string deadline_ms; ///< time left for an answer, in milliseconds
    std::string target_instance; ///< the only target that may run the request
    std::string seal;            ///< shows that a target wrote the answer
    std::string not_executed;    ///< the target did not run the request
    std::string load;            ///< load report of a target
    std::string instance_id;     ///< of a target, in answers to probes
    std::string rate_limit;      ///< requests per second that a target accepts
    std::string organisation;    ///< tells a target whose caller asks
};

/// The state that a target reports, beside its load.
struct target_signals
{
    std::optional<duration> cold_left; ///< of its warm-up; zero: it is warm
    std::optional<bool> draining;      ///< may be revoked
    bool leaving = false;              ///< final, until the target restarts
};

/// A row that is left out because it cannot be parsed, and the reason.
struct unreadable_row
{
    std::string key;
    std::string reason;
};

/// The result of parsing changed rows of the operators' table.
struct operator_change
{
    std::optional<configuration> config; ///< if the rows affect it
    /// All targets, if operators list them.
    std::optional<std::vector<listed_target>> targets;
    std::set<data_centre_id> evacuated; ///< all that are evacuated now
    std::vector<unreadable_row> unreadable;
};

/// The tables of the platform's store that the router reads, and the parsers of
/// their rows. The functions throw `error` for what they cannot parse.
struct row_schema
{
    std::string operator_table;
    /// Each of the operators' rows can be parsed without the others.
    bool operator_rows_are_independent = false;
    /// The operators' documents have versions of their own, so that an older
    /// one is refused whatever the revision of its row.
    bool operator_rows_have_versions = false;
    /// Table in which targets register; empty when operators list them.
    std::string target_table;
    std::string member_table;
    std::function<operator_change(std::span<const io::store_row> changed)>
        read_operator_rows;
    std::function<listed_target(std::string_view key, std::string_view text)>
        read_target;
};

/// Adapts the router to one platform: names of headers and paths, the schema of
/// the store, and the parsing and formatting of values. It takes no decisions.
/// It may keep state, such as the operators' rows parsed so far, so each router
/// needs its own.
struct platform_adapter
{
    header_names headers;
    row_schema rows;
    std::string readiness_path;
    std::string directory_path;
    /// Query parameter of a directory request that holds the caller's data
    /// centre.
    std::string data_centre_parameter;
    /// The directory and the router's other own paths are also served at the
    /// address to which callers send requests.
    bool serves_own_paths_to_callers = false;
    /// Requests that a target queues for each of its slots.
    double queue_per_slot = 1;
    std::function<std::optional<load_report>(std::string_view header)>
        read_load;
    std::function<target_signals(std::span<const io::header_field>)>
        read_target_signals;
    /// Formats the body of the directory's answer.
    std::function<std::string(const std::vector<std::string>& addresses,
                              duration lifetime)>
        write_addresses;
    /// Formats the value of `Retry-After`.
    std::function<std::string(duration)> write_retry_after;
};

} // namespace vanillapost::router

#endif
