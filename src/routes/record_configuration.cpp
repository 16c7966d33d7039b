#include "vanillapost/src/routes/record_configuration.hpp"

#include "vanillapost/src/records/target_limits.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace vanillapost {

namespace {

/// Targets that one request of a service may run on.
constexpr int call_attempts = 3;

// Bookings go before lookups, and those before downloads.
int call_priority(request_kind kind)
{
    switch (kind) {
    case request_kind::non_idempotent:
        return 0;
    case request_kind::idempotent:
        return 1;
    case request_kind::download:
        break;
    }
    return 2;
}

route make_call_route(const service_record& service)
{
    route result;
    result.name = "call/" + service.name.value;
    result.prefix = std::string(call_prefix) + service.name.value + "/";
    result.strips_prefix = true;
    result.kind = service.kind;
    result.parts = {{service.name, 1}};
    result.timeout = service.deadline;
    result.latency_objective = service.latency;
    result.max_attempts = call_attempts;
    result.priority = call_priority(service.kind);
    return result;
}

route make_route(const route_record& record)
{
    route result;
    result.name = record.name;
    result.host = record.host;
    result.prefix = record.prefix;
    result.kind = record.kind;
    result.parts = record.parts;
    result.timeout = record.timeout;
    result.latency_objective = record.latency;
    result.max_attempts = record.attempts;
    result.priority = record.priority;
    return result;
}

// All instances together keep within the least of a service's targets.
int connections_of(const record_set& records, const service_id& service)
{
    int result = 0;
    for (const auto& [name, target] : records.targets())
        if (target.service == service)
            result = result == 0 ? target.connections
                                 : std::min(result, target.connections);
    return result;
}

service_settings make_service(const record_set& records,
                              const service_record& record)
{
    service_settings result;
    result.id = record.name;
    result.max_connections = connections_of(records, record.name);
    result.max_waiting = record.queue_limit;
    return result;
}

class route_choice
{
public:
    explicit route_choice(const record_set& records) : records_(records)
    {
    }

    /// Why the route cannot be used; empty when it can.
    std::string objection(const route& rule)
    {
        double weight = 0;
        for (const auto& part : rule.parts) {
            if (!records_.find(part.service))
                return "there is no service " + part.service.value;
            weight += part.weight;
        }
        if (!(weight > 0))
            return "no part has a weight";
        if (!places_.insert({rule.host, rule.prefix}).second)
            return "another route has the same host and prefix";
        return "";
    }

private:
    const record_set& records_;
    std::set<std::pair<std::string, std::string>> places_;
};

} // namespace

record_configuration make_configuration(const record_set& records)
{
    record_configuration result;
    result.config.version = records.latest();
    route_choice choice(records);
    const auto add = [&](route rule) {
        auto reason = choice.objection(rule);
        if (reason.empty())
            result.config.routes.push_back(std::move(rule));
        else
            result.unusable.push_back({rule.name, std::move(reason)});
    };
    for (const auto& [name, service] : records.services()) {
        result.config.services.push_back(make_service(records, service));
        add(make_call_route(service));
    }
    for (const auto& [name, record] : records.routes())
        add(make_route(record));
    return result;
}

std::vector<listed_target> make_targets(const record_set& records)
{
    const auto shares = share_limits(records);
    std::vector<listed_target> result;
    for (const auto& [name, record] : records.targets()) {
        listed_target made;
        made.id = record.name;
        made.service = record.service;
        made.address = record.address;
        made.data_centre = record.data_centre;
        made.slots = shares.at(name);
        made.cold_slots = record.cold_slots;
        made.draining = !records.takes_work(record) || made.slots == 0;
        result.push_back(std::move(made));
    }
    return result;
}

} // namespace vanillapost
