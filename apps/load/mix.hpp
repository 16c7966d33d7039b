#ifndef VANILLAPOST_APPS_LOAD_MIX_HPP
#define VANILLAPOST_APPS_LOAD_MIX_HPP

#include <nlohmann/json.hpp>
#include <string>
#include <vanillapost/records.hpp>
#include <vector>

namespace vanillapost::load {

/// The calls of one service.
struct service_calls
{
    std::string name;
    request_kind kind = request_kind::idempotent;
    double per_second = 1.0;
    std::string path = "/"; ///< "{id}" stands for the request's id
    duration deadline = std::chrono::seconds(2);
};

/// What callers ask for.
struct call_mix
{
    std::vector<service_calls> services;
    std::vector<std::string> data_centres; ///< where callers are
    int callers = 24;
};

/// Reads a mix:
/// `{"callers":24,"data_centres":["a"],"services":[{"name","class",
/// "per_second","path","deadline_ms"}]}`.
/// \throws field_error  naming what is wrong
call_mix parse_mix(const nlohmann::json& document, const std::string& peer);

/// A stretch of the run with its own rate.
struct phase
{
    duration length{};
    double factor = 1.0; ///< times the rates of the mix
};

/// Reads phases such as "10:0.5,20:1.5", in seconds and factors.
/// \throws error  when `text` is something else
std::vector<phase> parse_phases(const std::string& text);

} // namespace vanillapost::load

#endif
