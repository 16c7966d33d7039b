#include "mix.hpp"

#include <sstream>
#include <vanillapost/src/records/field_reader.hpp>

namespace vanillapost::load {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view step = "parse mix";
constexpr std::int64_t max_ms = 600'000;
constexpr double max_per_second = 1e6;
constexpr int max_callers = 10'000;

service_calls parse_service(const nlohmann::json& document,
                            const std::string& peer)
{
    detail::field_reader reader(document);
    service_calls result;
    result.name = reader.text("name");
    result.kind = static_cast<request_kind>(
        reader.choice("class", {"lookup", "booking", "download"}));
    result.per_second = reader.number("per_second", 0.0, max_per_second, 1.0);
    result.path = reader.text("path", result.path);
    result.deadline =
        milliseconds(reader.integer("deadline_ms", 1, max_ms, 2000));
    reader.finish(step, peer);
    return result;
}

std::vector<std::string> parse_names(const nlohmann::json* list)
{
    std::vector<std::string> result;
    if (list && list->is_array()) {
        for (const auto& name : *list)
            result.push_back(name.get<std::string>());
    }
    return result;
}

} // namespace

call_mix parse_mix(const nlohmann::json& document, const std::string& peer)
{
    detail::field_reader reader(document);
    call_mix result;
    result.callers = static_cast<int>(
        reader.integer("callers", 1, max_callers, result.callers));
    result.data_centres = parse_names(reader.child("data_centres"));
    if (result.data_centres.empty())
        reader.problem("data_centres", "none", "a list of names");
    const auto* services = reader.child("services");
    if (!services || !services->is_array() || services->empty())
        reader.problem("services", "none", "a list of services");
    reader.finish(step, peer);
    for (const auto& each : *services)
        result.services.push_back(parse_service(each, peer));
    return result;
}

std::vector<phase> parse_phases(const std::string& text)
{
    std::vector<phase> result;
    std::istringstream parts(text);
    std::string part;
    while (std::getline(parts, part, ',')) {
        std::istringstream fields(part);
        double seconds = 0.0;
        double factor = 1.0;
        char colon = ':';
        fields >> seconds;
        if (fields.good())
            fields >> colon >> factor;
        if (fields.fail() || colon != ':' || seconds <= 0.0 || factor < 0.0)
            throw error("parse phases", text, "expected SECONDS:FACTOR,...");
        const std::chrono::duration<double> length(seconds);
        result.push_back(
            {std::chrono::duration_cast<duration>(length), factor});
    }
    if (result.empty())
        throw error("parse phases", text, "expected SECONDS:FACTOR,...");
    return result;
}

} // namespace vanillapost::load
