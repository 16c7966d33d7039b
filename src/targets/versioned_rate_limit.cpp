#include "vanillapost/src/targets/versioned_rate_limit.hpp"

#include "vanillapost/src/base/error.hpp"
#include "vanillapost/src/base/number_text.hpp"
#include "vanillapost/src/base/text_check.hpp"

namespace vanillapost {

namespace {

using nlohmann::json;

constexpr std::string_view step = "read rate limit";
constexpr std::size_t field_count = 4;

std::uint64_t read_whole(const json& value, const char* what)
{
    const bool is_whole = value.is_number_integer() && value >= 0;
    if (!is_whole || value.get<std::uint64_t>() > max_exact_whole)
        throw error(step, what, "not a whole number in range");
    return value.get<std::uint64_t>();
}

std::optional<double> read_rate(const json& value)
{
    if (value.is_null())
        return std::nullopt;
    const bool in_range = value.is_number() && value.get<double>() >= 0 &&
                          value.get<double>() <= max_exact_whole;
    if (!in_range)
        throw error(step, "rate", "not a number in range");
    return value.get<double>();
}

} // namespace

json to_json(const versioned_rate_limit& limit)
{
    auto rate = limit.per_second ? json(*limit.per_second) : json(nullptr);
    return json::array({limit.target.value, limit.start_unix_ms, limit.version,
                        std::move(rate)});
}

versioned_rate_limit parse_versioned_rate_limit(const json& message)
{
    if (!message.is_array() || message.size() != field_count ||
        !message[0].is_string())
        throw error(step, "", "not a target with three numbers");
    versioned_rate_limit limit;
    limit.target.value = message[0].get<std::string>();
    if (!is_name_text(limit.target.value))
        throw error(step, shortened(limit.target.value), "not a target's id");
    limit.start_unix_ms =
        static_cast<std::int64_t>(read_whole(message[1], "born"));
    limit.version = read_whole(message[2], "version");
    limit.per_second = read_rate(message[3]);
    return limit;
}

} // namespace vanillapost
