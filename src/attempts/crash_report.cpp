#include "vanillapost/src/attempts/crash_report.hpp"

#include "vanillapost/src/base/duration_text.hpp"
#include "vanillapost/src/base/error.hpp"
#include "vanillapost/src/base/text_check.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillapost {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::string_view step = "read crash report";
/// More than any \ref request_identity has.
constexpr std::size_t max_request_bytes = 1024;
/// An older end tells nothing about the request any more.
constexpr auto max_age = 60'000ms;

std::string read_request(const json& message)
{
    auto text = message.at("request").get<std::string>();
    if (!is_header_word(text, max_request_bytes))
        throw error(step, "request", "empty, too long or not printable");
    return text;
}

std::string read_target(const json& message)
{
    auto text = message.at("target").get<std::string>();
    if (!is_name_text(text))
        throw error(step, "target", "not a target's id");
    return text;
}

} // namespace

json to_json(const crash_report& report)
{
    return {{"request", report.request},
            {"target", report.target},
            {"start", report.start_unix_ms},
            {"age_ms", to_ms(report.age)}};
}

crash_report parse_crash_report(const json& message)
{
    crash_report result;
    result.request = read_request(message);
    result.target = read_target(message);
    result.start_unix_ms = message.value("start", std::int64_t{0});
    const auto age_ms = message.value("age_ms", std::int64_t{0});
    result.age = std::chrono::milliseconds(
        std::clamp<std::int64_t>(age_ms, 0, max_age.count()));
    return result;
}

} // namespace vanillapost
