#include "targets/target_message.hpp"

#include "requests/problem.hpp"
#include "vanillapost/base.hpp"
#include "vanillapost/src/base/number_text.hpp"

#include <algorithm>

namespace vanillapost::router {

namespace {

constexpr int status_misdirected = 421;
/// Behind the name, in `Relayed-By`.
constexpr std::string_view attempts_mark = ";attempts=";

/// \param default_host  for a request without a `Host` header
/// \param added         headers that the receiver gets in addition, which the
///                      caller's `Connection` header cannot remove
std::string format_message(const io::http_request& request,
                           std::string_view default_host,
                           const header_names& names, duration left,
                           const io::header_list& added)
{
    const auto host = io::find_header(request.headers, "Host");
    const auto connection =
        io::find_header(request.headers, "Connection").value_or("");
    std::string text =
        request.method + ' ' + request.target +
        " HTTP/1.1\r\nHost: " + std::string(host.value_or(default_host)) +
        "\r\n";
    for (const auto& field : request.headers) {
        const bool replaced =
            io::same_header_name(field.name, "Host") ||
            io::same_header_name(field.name, names.deadline_ms) ||
            io::same_header_name(field.name, names.target_instance);
        if (!replaced && !io::is_hop_header(field.name, connection))
            text += field.name + ": " + field.value + "\r\n";
    }
    const auto left_ms = std::max<std::int64_t>(to_ms(left), 1);
    text += names.deadline_ms + ": " + std::to_string(left_ms) + "\r\n";
    for (const auto& field : added)
        text += field.name + ": " + field.value + "\r\n";
    const bool has_length =
        !request.body.empty() ||
        io::find_header(request.headers, "Content-Length").has_value();
    if (has_length)
        text +=
            "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return text + "\r\n" + request.body;
}

} // namespace

std::string
format_target_message(const io::http_request& request,
                      const listed_target& target, const header_names& names,
                      duration left,
                      const std::optional<organisation_id>& organisation)
{
    io::header_list added = {{names.target_instance, target.id.value}};
    if (organisation)
        added.push_back({names.organisation, organisation->value});
    return format_message(request, target.address, names, left, added);
}

std::string format_relayed_request(const io::http_request& request,
                                   const member& self,
                                   const header_names& names, duration left,
                                   int attempts, std::string_view authorization)
{
    const auto value =
        self.name.value + std::string(attempts_mark) + std::to_string(attempts);
    io::header_list added = {{std::string(relayed_by_header), value}};
    if (!authorization.empty())
        added.push_back({"Authorization", std::string(authorization)});
    return format_message(request, self.caller_address, names, left, added);
}

std::optional<int> parse_relayed_attempts(std::string_view relayed_by)
{
    const auto mark = relayed_by.rfind(attempts_mark);
    if (mark == std::string_view::npos)
        return std::nullopt;
    const auto attempts =
        parse_number<int>(relayed_by.substr(mark + attempts_mark.size()));
    return attempts && *attempts >= 1 ? attempts : std::nullopt;
}

attempt_outcome classify_answer(const io::target_answer_head& head,
                                const header_names& names)
{
    const auto has = [&](const std::string& name) {
        return io::find_header(head.headers, name).has_value();
    };
    if (has(names.not_executed))
        return attempt_refused{head.status};
    const bool sealed = has(names.seal);
    if (head.status == status_misdirected && !sealed)
        return attempt_misdirected{};
    if (!sealed)
        return attempt_lost{"status " + std::to_string(head.status) +
                            " without the target's proof"};
    if (has("Content-Encoding"))
        return attempt_lost{"an encoded body that was not asked for"};
    return attempt_answered{head.status};
}

attempt_outcome classify_peer_answer(const io::target_answer_head& head,
                                     const header_names& names)
{
    // A target's own refusal, passed on, has not run either.
    const bool is_promise = head.status == status_request_timeout ||
                            head.status == status_misdirected ||
                            head.status == status_too_many_requests ||
                            head.status == status_unavailable;
    const bool sealed = io::find_header(head.headers, names.seal).has_value();
    if (is_promise && !sealed)
        return attempt_refused{head.status};
    return classify_answer(head, names);
}

std::optional<load_report> read_report(const io::target_answer_head& head,
                                       const platform_adapter& adapter)
{
    const auto header = io::find_header(head.headers, adapter.headers.load);
    return header ? adapter.read_load(*header) : std::nullopt;
}

} // namespace vanillapost::router
