#include "request_filters.hpp"

#include "vanillapost/idempotency.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace vanillapost::entry {

namespace {

constexpr std::string_view call_prefix = "/v1/call/";
constexpr std::int64_t longest_deadline_ms = 3'600'000;
constexpr std::int64_t deepest_call = 1000;
constexpr duration shortest_useful_deadline = std::chrono::milliseconds(1);

/// Headers of one connection, and those that are set anew for the target.
constexpr std::array<std::string_view, 16> own_headers = {
    "Connection", "Keep-Alive", "Proxy-Connection",  "TE",
    "Trailer",    "Upgrade",    "Transfer-Encoding", "Content-Length",
    "Expect",     "Deadline",   "Deadline-Ms",       "Request-Id",
    "Priority",   "Call-Depth", "Forwarded-By",      "Host"};

bool is_own_header(std::string_view name)
{
    return std::any_of(
        own_headers.begin(), own_headers.end(),
        [&](std::string_view own) { return io::same_header_name(own, name); });
}

problem bad_request(std::string_view step, std::string detail)
{
    return {.status = 400,
            .detail = std::move(detail),
            .step = std::string(step),
            .ran = ran_state::no,
            .retry_after = std::nullopt};
}

/// A header that holds a number, within [0, highest].
struct number_header
{
    std::optional<std::int64_t> value;
    bool valid = true;
};

number_header read_number(const call& request, std::string_view name,
                          std::int64_t highest)
{
    const auto text = io::find_header(request.exchange->headers(), name);
    if (!text)
        return {};
    std::int64_t value = 0;
    const auto* end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || value < 0 ||
        value > highest)
        return {std::nullopt, false};
    return {value, true};
}

} // namespace

std::optional<problem>
parse_filter::operator()(call& request, const filter_context& context) const
{
    const auto& exchange = *request.exchange;
    const auto rest = exchange.path().substr(call_prefix.size());
    const auto slash = rest.find('/');
    request.service.value = rest.substr(0, slash);
    const auto* service = context.records.find(request.service);
    if (!service)
        return problem{.status = 404,
                       .detail = "there is no service of that name",
                       .step = "parse",
                       .ran = ran_state::no,
                       .retry_after = std::nullopt};
    request.objective = service->latency;
    auto& out = request.request;
    out.method = exchange.method();
    out.target =
        slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
    if (!exchange.query().empty())
        out.target += "?" + std::string(exchange.query());
    out.body = exchange.body();
    for (const auto& header : exchange.headers()) {
        if (!is_own_header(header.name))
            out.headers.push_back(header);
    }
    const auto forwarder = io::find_header(exchange.headers(), "Forwarded-By");
    // Anybody can send the header; only a known entry's name counts.
    if (forwarder && context.peers.knows(*forwarder))
        request.forwarded_by = *forwarder;
    return std::nullopt;
}

std::optional<problem>
deadline_filter::operator()(call& request, const filter_context& context) const
{
    const auto left = read_number(request, "Deadline-Ms", longest_deadline_ms);
    if (!left.valid)
        return bad_request("deadline", "Deadline-Ms is not a number of ms");
    auto allowed = context.records.find(request.service)->deadline;
    if (left.value)
        allowed =
            std::min<duration>(allowed, std::chrono::milliseconds(*left.value));
    request.facts.deadline = context.now + allowed;
    if (allowed < shortest_useful_deadline)
        return problem{.status = 408,
                       .detail = "the deadline has already passed",
                       .step = "deadline",
                       .ran = ran_state::no,
                       .retry_after = std::nullopt};
    return std::nullopt;
}

std::optional<problem>
priority_filter::operator()(call& request, const filter_context& context) const
{
    const auto depth = read_number(request, "Call-Depth", deepest_call);
    const auto repeat = read_number(request, "Retry-Attempt", deepest_call);
    if (!depth.valid || !repeat.valid)
        return bad_request("priority",
                           "Call-Depth or Retry-Attempt is not a small number");
    request.facts.kind = context.records.find(request.service)->kind;
    request.facts.call_depth = static_cast<int>(depth.value.value_or(0));
    request.facts.caller_attempt = static_cast<int>(repeat.value.value_or(0));
    request.facts.attempts = 0;
    return std::nullopt;
}

std::optional<problem>
idempotency_filter::operator()(call& request, const filter_context&) const
{
    const auto key =
        io::find_header(request.exchange->headers(), "Idempotency-Key");
    if (!key || request.facts.idempotent())
        return std::nullopt;
    if (!is_idempotency_key(*key))
        return bad_request("idempotency",
                           "Idempotency-Key has to be 1 to 255 visible ASCII "
                           "characters");
    // The entry that forwarded the request has claimed the key already.
    if (request.forwarded_by.empty())
        request.idempotency_key = *key;
    return std::nullopt;
}

std::span<const request_filter> request_filters()
{
    static const std::array<request_filter, 4> filters = {
        parse_filter{}, deadline_filter{}, priority_filter{},
        idempotency_filter{}};
    return filters;
}

std::optional<problem> run_filters(call& request, const filter_context& context)
{
    for (const auto& filter : request_filters()) {
        auto refused = std::visit(
            [&](const auto& each) { return each(request, context); }, filter);
        if (refused)
            return refused;
    }
    return std::nullopt;
}

} // namespace vanillapost::entry
