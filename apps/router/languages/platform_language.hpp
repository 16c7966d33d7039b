#ifndef VANILLAPOST_APPS_ROUTER_LANGUAGES_PLATFORM_LANGUAGE_HPP
#define VANILLAPOST_APPS_ROUTER_LANGUAGES_PLATFORM_LANGUAGE_HPP

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
    std::string rate_limit;      ///< requests a second that a target takes
};

/// What a target says of its state, beside its load.
struct target_condition
{
    std::optional<duration> cold_left; ///< zero: it is not cold
    std::optional<bool> draining;      ///< may be taken back
    bool leaving = false;              ///< for good, until it starts again
};

/// A row that is left out, and why.
struct unreadable_row
{
    std::string key;
    std::string reason;
};

/// What changed rows of the operators' table come to.
struct operator_change
{
    std::optional<configuration> config; ///< when it concerns routes
    /// All targets, where operators list them.
    std::optional<std::vector<listed_target>> targets;
    std::set<data_centre_id> evacuated; ///< all that are taken out now
    std::vector<unreadable_row> unreadable;
};

/// Where the platform's store keeps what the router has to know, and how its
/// rows are read. The functions throw `error` for what they cannot read.
struct row_schema
{
    std::string operator_table;
    /// Each of the operators' rows can be read without the others.
    bool operator_rows_stand_alone = false;
    /// Where targets list themselves; empty when operators list them.
    std::string target_table;
    std::string member_table;
    std::function<operator_change(std::span<const io::store_row> changed)>
        read_operator_rows;
    std::function<listed_target(std::string_view key, std::string_view text)>
        read_target;
};

/// How the platform around the router speaks. The router decides; this names
/// and translates. It may keep the operators' rows that it has read, so each
/// router has one of its own.
struct platform_language
{
    header_names headers;
    row_schema rows;
    std::string readiness_path;
    std::string directory_path;
    /// Query parameter of the directory's call with the caller's data centre.
    std::string data_centre_parameter;
    /// The directory and the rest are served where callers send requests, too.
    bool serves_own_paths_to_callers = false;
    /// Requests that a target lets wait for each of its slots.
    double queue_per_slot = 1;
    std::function<std::optional<load_report>(std::string_view header)>
        read_load;
    std::function<target_condition(std::span<const io::header_field>)>
        read_condition;
    /// Body of the directory's answer.
    std::function<std::string(const std::vector<std::string>& addresses,
                              duration lifetime)>
        write_addresses;
    /// Value of `Retry-After`.
    std::function<std::string(duration)> write_retry_after;
};

} // namespace vanillapost::router

#endif
