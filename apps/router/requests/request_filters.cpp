#include "requests/request_filters.hpp"

#include "requests/request_limits.hpp"
#include "targets/target_message.hpp"
#include "vanillapost/base.hpp"
#include "vanillapost/idempotency.hpp"

#include <algorithm>
#include <array>

namespace vanillapost::router {

namespace {

/// A router without a configuration, or with an outdated one, gets the current
/// one within about a second.
constexpr duration retry_after_unconfigured = std::chrono::milliseconds(500);
constexpr std::int64_t max_time_left_ms = 3'600'000;
constexpr std::string_view key_header = "Idempotency-Key";
constexpr std::string_view authorization_header = "Authorization";

problem refusal(int status, std::string_view step, std::string_view detail)
{
    problem result;
    result.status = status;
    result.step = step;
    result.detail = detail;
    return result;
}

problem unconfigured(std::string_view detail)
{
    auto result = refusal(status_unavailable, "configuration", detail);
    result.retry_after = retry_after_unconfigured;
    return result;
}

/// Removes all headers of a name.
/// \return the value of the first one, or "" if there is none
std::string take_header(io::header_list& headers, std::string_view name)
{
    const std::string value(io::find_header(headers, name).value_or(""));
    std::erase_if(headers, [&](const auto& field) {
        return io::same_header_name(field.name, name);
    });
    return value;
}

} // namespace

std::optional<problem>
id_filter::operator()(incoming_request& request,
                      const filter_context& context) const
{
    const auto& name = context.adapter.headers.attempt_id;
    const auto given = io::find_header(request.message.headers, name);
    if (given) {
        request.id = *given;
        return std::nullopt;
    }
    request.id = context.generate_request_id();
    request.message.headers.push_back({name, request.id});
    return std::nullopt;
}

std::optional<problem> relay_filter::operator()(incoming_request& request,
                                                const filter_context&) const
{
    const auto relayed_by =
        io::find_header(request.message.headers, relayed_by_header);
    if (!relayed_by)
        return std::nullopt;
    request.is_relayed = true;
    request.relayed_attempts = parse_relayed_attempts(*relayed_by);
    take_header(request.message.headers, relayed_by_header);
    return std::nullopt;
}

std::optional<problem>
configured_filter::operator()(incoming_request&,
                              const filter_context& context) const
{
    if (!context.cluster.is_configured())
        return unconfigured("no configuration is known yet");
    if (context.cluster.targets.all().empty())
        return unconfigured("no target is known yet");
    return std::nullopt;
}

std::optional<problem>
route_filter::operator()(incoming_request& request,
                         const filter_context& context) const
{
    auto& message = request.message;
    const auto host = io::find_header(message.headers, "Host");
    if (!host)
        return refusal(status_bad_request, "route", "no Host header");
    const auto* rule = context.cluster.routes().find(*host, message.target);
    if (!rule && !context.has_newest_configuration())
        return unconfigured("no route matches, and a newer configuration may "
                            "be in force");
    if (!rule)
        return refusal(status_not_found, "route", "no route matches");
    request.rule = *rule;
    // The slash at the end of the prefix stays, as the start of the new path.
    if (rule->strips_prefix)
        message.target.erase(0, rule->prefix.size() - 1);
    return std::nullopt;
}

std::optional<problem>
organisation_filter::operator()(incoming_request& request,
                                const filter_context& context) const
{
    const auto& routes = context.cluster.routes();
    if (!routes.needs_keys())
        return std::nullopt;
    request.authorization =
        take_header(request.message.headers, authorization_header);
    take_header(request.message.headers, context.adapter.headers.organisation);
    const auto key = parse_bearer_token(request.authorization);
    const auto* found = key ? routes.find_organisation(*key) : nullptr;
    if (found) {
        request.organisation = found->id;
        request.organisation_priority = found->priority;
        return std::nullopt;
    }
    if (request.rule.is_public)
        return std::nullopt;
    if (key && !context.has_newest_configuration())
        return unconfigured("the key is unknown, and a newer configuration "
                            "may be in force");
    return refusal(status_unauthorized, "organisation",
                   key ? "the key is unknown" : "the request has no key");
}

std::optional<problem>
deadline_filter::operator()(incoming_request& request,
                            const filter_context& context) const
{
    const auto& name = context.adapter.headers.deadline_ms;
    const auto text = io::find_header(request.message.headers, name);
    if (!text)
        return std::nullopt;
    const auto ms = parse_number<std::int64_t>(*text);
    if (!ms || *ms < 0)
        return refusal(status_bad_request, "deadline",
                       name + " is not a number of milliseconds");
    if (*ms == 0)
        return refusal(status_request_timeout, "deadline",
                       "the deadline has passed");
    request.time_left =
        std::chrono::milliseconds(std::min(*ms, max_time_left_ms));
    return std::nullopt;
}

std::optional<problem>
idempotency_key_filter::operator()(incoming_request& request,
                                   const filter_context&) const
{
    const auto key = io::find_header(request.message.headers, key_header);
    if (!key || may_repeat(request.rule.kind))
        return std::nullopt;
    if (!is_idempotency_key(*key))
        return refusal(status_bad_request, "idempotency",
                       "Idempotency-Key has to be 1 to 255 visible ASCII "
                       "characters");
    request.idempotency_key = *key;
    return std::nullopt;
}

std::optional<problem>
shutdown_filter::operator()(incoming_request& request,
                            const filter_context& context) const
{
    if (!context.shutdown)
        return std::nullopt;
    const auto& rule = request.rule;
    const auto limit = request.time_left.value_or(default_deadline);
    const auto& members = context.cluster.members;
    late_request late;
    late.time_limit = within_timeout(rule, limit);
    late.expected_work = context.statistics.expected_work(rule);
    late.repeatable = may_repeat(rule.kind);
    late.has_peers = !members.ready_peers(request.begun).empty();
    if (context.shutdown->admits(request.begun, late))
        return std::nullopt;
    return refusal(status_unavailable, "shutdown",
                   "this instance stops before it could answer");
}

std::string identity_of(const io::http_request& message)
{
    const auto host = io::find_header(message.headers, "Host").value_or("");
    return request_identity(message.method, host, message.target, message.body);
}

std::optional<problem>
crash_filter::operator()(incoming_request& request,
                         const filter_context& context) const
{
    const auto& suspects = context.crashes.suspects();
    if (suspects.is_empty())
        return std::nullopt;
    const auto identity = identity_of(request.message);
    const auto admission = context.crashes.admit(identity);
    request.is_trial = admission == crash_admission::trial;
    if (admission != crash_admission::held)
        return std::nullopt;
    auto result = refusal(status_unavailable, "crash", held_reason);
    result.retry_after = suspects.hold_left(identity, request.begun);
    return result;
}

std::optional<problem> run_filters(incoming_request& request,
                                   const filter_context& context)
{
    static const std::array<request_filter, 9> filters = {
        id_filter{},
        relay_filter{},
        configured_filter{},
        route_filter{},
        organisation_filter{},
        deadline_filter{},
        idempotency_key_filter{},
        shutdown_filter{},
        crash_filter{}};
    for (const auto& filter : filters) {
        auto refused = std::visit(
            [&](const auto& each) { return each(request, context); }, filter);
        if (refused)
            return refused;
    }
    return std::nullopt;
}

} // namespace vanillapost::router
