#include "explanation.hpp"

#include "vanillapost/base.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace vanillapost::explain {

namespace {

constexpr std::string_view ended_event = "request_ended";
constexpr std::string_view refused_event = "request_refused";
constexpr std::string_view held_event = "request_held_back";
constexpr std::string_view held_reason = "targets ended under this request";

/// Events that change what an instance believes.
constexpr std::array<std::string_view, 9> belief_events = {
    "started",
    "configuration_adopted",
    "data_centres_evacuated",
    "store_lost",
    "store_back",
    "follows_store",
    "settings_changed",
    "leaving",
    "ready"};

/// Milliseconds of a log line; 0 for what makes no sense, so that sums of
/// them do not overflow.
long read_ms(std::string_view text)
{
    constexpr long longest = 1'000'000'000;
    const auto value = parse_number<long>(text).value_or(0);
    return value >= 0 && value <= longest ? value : 0;
}

bool is_request(const log_line& line)
{
    return line.event == ended_event || line.event == refused_event;
}

std::string describe_attempts(const std::vector<told_attempt>& attempts)
{
    std::string text;
    for (const auto& each : attempts) {
        text += text.empty() ? "" : ", then ";
        text += "target " + each.target + " (" + std::to_string(each.taken_ms) +
                " ms: " + each.outcome + ")";
    }
    return text;
}

// Why attempts left the data centre, if any did; the router writes it into the
// outcome.
std::string explain_leaving(const std::vector<told_attempt>& attempts)
{
    constexpr std::pair<std::string_view, std::string_view> causes[] = {
        {"left the data centre: short here",
         "too few targets were free in the data centre"},
        {"left the data centre: slow here",
         "the targets in the data centre were clearly slower"},
        {"left the data centre: few here",
         "the service has few targets in the data centre"},
        {"left the data centre: none here",
         "no target in the data centre could be used"}};
    std::string text;
    for (const auto& each : attempts)
        for (const auto& [told, meaning] : causes)
            if (each.outcome.find(told) != std::string::npos)
                text += " It left for target " + each.target + ": " +
                        std::string(meaning) + ".";
    return text;
}

std::string explain_refusal(const log_line& line)
{
    const auto reason = line.field("reason");
    const auto service = line.field("service");
    const auto waited = line.field("taken_ms") + " ms";
    if (reason == "all targets are full")
        return "It waited " + waited + " for a target of " + service +
               "; each was full, or so busy that one more request would have "
               "been late. It was not sent.";
    if (reason == "no target can be used")
        return "No target of " + service +
               " could be used: none listed, all leaving or in evacuated data "
               "centres. It was not sent.";
    if (reason == "too little time is left")
        return "Its caller left " + line.field("deadline_ms") +
               " ms, less than half of the usual work. It was not sent.";
    if (reason == "no route matches")
        return "Configuration " + line.field("configuration") +
               " has no route for " + line.field("target") + ".";
    if (reason == "no configuration is known yet")
        return "The instance had not read any configuration yet.";
    if (reason == held_reason)
        return "Targets ended under requests like it, so it is held back. It "
               "was not sent.";
    return "It was refused: " + reason + ".";
}

std::string explain_failure(const log_line& line,
                            const std::vector<told_attempt>& attempts)
{
    const auto reason = line.field("reason");
    const auto tried = describe_attempts(attempts);
    if (attempts.empty())
        return "It failed before any target had it: " + reason + ".";
    if (reason == "no answer in time")
        return "No target answered within " + line.field("deadline_ms") +
               " ms: " + tried + ". It may have run.";
    if (reason == "answered")
        return "The target's own failure was passed on: " + tried + ".";
    return "No usable answer came: " + tried + ". It may have run.";
}

std::string explain_delay(const std::vector<told_attempt>& attempts,
                          const std::string& taken)
{
    const auto slowest = std::ranges::max_element(
        attempts, {}, [](const auto& each) { return each.taken_ms; });
    if (slowest == attempts.end())
        return "It took " + taken + " ms.";
    const long rest = read_ms(taken) - slowest->taken_ms;
    return "It took " + taken + " ms: target " + slowest->target + " had it " +
           std::to_string(slowest->taken_ms) + " ms (" + slowest->outcome +
           "), the rest " + std::to_string(std::max(rest, 0L)) +
           " ms went into waiting and other attempts.";
}

// Names the request that is held back, which other requests share, and the
// targets that ended under it.
std::string describe_hold(std::span<const log_line> lines,
                          const log_line& refused)
{
    const auto address = refused.field("target");
    std::string request;
    std::set<std::string> ended;
    for (const auto& line : lines) {
        const bool concerns =
            line.event == held_event && line.time <= refused.time &&
            line.field("request").find(address) != std::string::npos;
        if (!concerns)
            continue;
        request = line.field("request");
        ended.insert(line.field("target"));
    }
    if (address.empty() || ended.empty())
        return "";
    std::string text = " What is held back: " + request + "; ended:";
    for (const auto& target : ended)
        text += " " + target;
    return text + ".";
}

std::string explain_end(const log_line& line,
                        const std::vector<told_attempt>& attempts)
{
    const auto result =
        line.event == refused_event ? "refused" : line.field("result");
    if (result == "refused")
        return explain_refusal(line);
    if (result == "failed")
        return explain_failure(line, attempts);
    if (result == "slow")
        return explain_delay(attempts, line.field("taken_ms"));
    if (result == "gone")
        return "Its caller closed the connection after " +
               line.field("taken_ms") + " ms.";
    return "It was answered in time.";
}

// Routers note the version of a target while one replaces another.
std::string name_versions(const std::vector<told_attempt>& attempts)
{
    constexpr std::string_view before = ", version ";
    std::string text;
    for (const auto& each : attempts) {
        const auto at = each.outcome.rfind(before);
        if (at == std::string::npos || !each.outcome.ends_with(']'))
            continue;
        const auto version = each.outcome.substr(at + before.size());
        text += (text.empty() ? "" : ", ") + each.target + " has " +
                version.substr(0, version.size() - 1);
    }
    return text.empty() ? "" : " Versions in a roll-out: " + text + ".";
}

} // namespace

std::vector<told_attempt> parse_attempts(std::string_view text)
{
    std::vector<told_attempt> result;
    while (!text.empty()) {
        const auto end = text.find("; ");
        const auto piece = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view()
                                             : text.substr(end + 2);
        const auto space = piece.find(' ');
        const auto unit = piece.find("ms ", space);
        if (space == std::string_view::npos || unit == std::string_view::npos)
            continue;
        told_attempt attempt;
        attempt.target = piece.substr(0, space);
        attempt.taken_ms = read_ms(piece.substr(space + 1, unit - space - 1));
        attempt.outcome = piece.substr(unit + 3);
        result.push_back(std::move(attempt));
    }
    return result;
}

std::string explain_request(const log_line& line)
{
    const auto attempts = parse_attempts(line.field("attempts"));
    return explain_end(line, attempts) + name_versions(attempts) +
           explain_leaving(attempts);
}

request_path find_request(std::span<const log_line> lines,
                          std::string_view request_id)
{
    request_path path;
    std::map<std::string, std::map<std::string, log_line>> beliefs;
    for (const auto& line : lines) {
        if (std::ranges::find(belief_events, line.event) != belief_events.end())
            beliefs[line.instance][line.event] = line;
        if (!is_request(line) || line.field("request_id") != request_id)
            continue;
        std::vector<log_line> known;
        for (auto& [event, last] : beliefs[line.instance])
            known.push_back(last);
        std::ranges::sort(known, {}, &log_line::time);
        std::ranges::move(known, std::back_inserter(path.lines));
        beliefs[line.instance].clear();
        path.lines.push_back(line);
        path.cause = explain_request(line);
        if (line.field("reason") == held_reason)
            path.cause += describe_hold(lines, line);
    }
    return path;
}

std::vector<failure_group> group_failures(std::span<const log_line> lines)
{
    std::map<std::tuple<std::string, std::string, std::string>, failure_group>
        groups;
    for (const auto& line : lines) {
        if (!is_request(line))
            continue;
        const auto result =
            line.event == refused_event ? "refused" : line.field("result");
        if (result == "good" || result == "gone")
            continue;
        const auto service = line.field("service");
        const auto reason = line.field("reason");
        auto& group = groups[{service, result, reason}];
        if (group.count++ == 0)
            group = {service,
                     result,
                     reason,
                     line.time,
                     line.time,
                     1,
                     line.field("request_id")};
        group.last = line.time;
    }
    std::vector<failure_group> result;
    for (auto& [key, group] : groups)
        result.push_back(std::move(group));
    std::ranges::stable_sort(result, std::greater<>{}, &failure_group::count);
    return result;
}

} // namespace vanillapost::explain
