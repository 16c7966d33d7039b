#ifndef VANILLAPOST_SRC_RECORDS_RECORD_HPP
#define VANILLAPOST_SRC_RECORDS_RECORD_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"
#include "../routes/configuration.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace vanillapost {

/// Revision that the table service gave to a row; rises with every write.
using revision = std::uint64_t;

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
    request_kind kind = request_kind::idempotent;
    duration deadline = std::chrono::seconds(2); ///< longest for a request
    int queue_limit = 64;        ///< requests waiting in one instance
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

/// Which services answer a path of a host, in which shares.
///
/// Every service can be called by its name without one.
struct route_record
{
    std::string name;
    std::string host;              ///< "": any
    std::string prefix;            ///< begins and ends with a slash
    std::vector<route_part> parts; ///< at least one
    request_kind kind = request_kind::idempotent;
    duration timeout = std::chrono::seconds(2);        ///< of a request
    duration latency = std::chrono::milliseconds(250); ///< objective
    int attempts = 2; ///< targets that one request may run on
    int priority = 1; ///< 0 is the most urgent

    bool operator==(const route_record&) const = default;
};

/// Any record that operators write.
using record = std::variant<target_record, service_record, data_centre_record,
                            route_record>;

/// A record's key in the table, such as "records/target/a1".
std::string record_key(const record& value);

} // namespace vanillapost

#endif
