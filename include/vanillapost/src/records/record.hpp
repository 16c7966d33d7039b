#ifndef VANILLAPOST_SRC_RECORDS_RECORD_HPP
#define VANILLAPOST_SRC_RECORDS_RECORD_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace vanillapost {

/// Revision that the table service gave to a row; rises with every write.
using revision = std::uint64_t;

/// What a service's requests are, which decides priority and retries.
enum class request_class
{
    booking,  ///< not idempotent: runs at most once
    lookup,   ///< idempotent and short: may be retried and hedged
    download, ///< idempotent and long: may be resumed by range
};

/// Whether work is placed on a target or in a data centre.
enum class service_state
{
    in,  ///< takes new work
    out, ///< takes no new work
};

/// Capacity and address of one target.
struct target_record
{
    target_id name;
    service_id service;
    data_centre_id data_centre;
    std::string address;   ///< IP number and port
    int slots = 1;         ///< requests in flight when warm
    int cold_slots = 1;    ///< requests in flight in cold start
    int connections = 200; ///< open connections
    service_state state = service_state::in;

    bool operator==(const target_record&) const = default;
};

/// Behaviour and limits of one service.
struct service_record
{
    service_id name;
    request_class kind = request_class::lookup;
    duration deadline = std::chrono::seconds(2); ///< longest for a request
    int queue_limit = 64;        ///< requests waiting in one entry
    std::optional<int> limit;    ///< requests in flight over all targets
    double availability = 0.999; ///< objective: share of good answers
    duration latency = std::chrono::milliseconds(250); ///< objective

    bool operator==(const service_record&) const = default;
};

/// Whether a data centre takes work, and how much.
struct data_centre_record
{
    data_centre_id name;
    service_state state = service_state::in;
    std::optional<int> limit; ///< requests in flight over all its targets

    bool operator==(const data_centre_record&) const = default;
};

/// Any record that operators write.
using record = std::variant<target_record, service_record, data_centre_record>;

/// A record's key in the table, such as "records/target/a1".
std::string record_key(const record& value);

} // namespace vanillapost

#endif
