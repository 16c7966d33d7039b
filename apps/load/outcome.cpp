#include "outcome.hpp"

#include <array>
#include <nlohmann/json.hpp>

namespace vanillapost::load {

namespace {

constexpr std::array<std::string_view, outcome_count> names = {
    "ok",          "refused",   "maybe",       "failed",
    "unreachable", "truncated", "wrong_answer"};

nlohmann::json parse_problem(std::string_view body)
{
    auto document = nlohmann::json::parse(body, nullptr, false);
    return document.is_object() ? document : nlohmann::json::object();
}

} // namespace

std::string_view to_string(outcome value)
{
    return names.at(static_cast<std::size_t>(value));
}

outcome outcome_of_refusal(std::string_view body, bool not_run)
{
    const auto problem = parse_problem(body);
    const auto ran = problem.value("ran", "");
    if (not_run || ran == "no")
        return outcome::refused;
    return ran.empty() ? outcome::failed : outcome::maybe;
}

outcome outcome_of_failure(const io::call_failure& failure)
{
    switch (failure.kind) {
    case io::call_failure_kind::refused:
    case io::call_failure_kind::connect_timeout:
        return outcome::unreachable;
    case io::call_failure_kind::timeout:
    case io::call_failure_kind::reset:
        return failure.sent ? outcome::maybe : outcome::unreachable;
    case io::call_failure_kind::truncated:
        return outcome::truncated;
    case io::call_failure_kind::bad_answer:
        break;
    }
    return outcome::failed;
}

duration retry_after(std::string_view body)
{
    const auto problem = parse_problem(body);
    const auto found = problem.find("retry_after_ms");
    if (found == problem.end() || !found->is_number())
        return duration(0);
    return std::chrono::milliseconds(found->get<std::int64_t>());
}

} // namespace vanillapost::load
