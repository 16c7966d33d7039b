#include "vanillapost/src/rollouts/rollout_directive.hpp"

#include "vanillapost/src/base/error.hpp"
#include "vanillapost/src/base/number_text.hpp"

#include <array>

namespace vanillapost {

namespace {

using nlohmann::json;

constexpr std::string_view step = "read rollout directive";
constexpr std::size_t field_count = 4;
constexpr std::array<std::string_view, 6> phase_names{
    "waiting", "canary", "ramping", "switching", "stopped", "finished"};

int finality(rollout_phase phase)
{
    if (phase == rollout_phase::finished)
        return 2;
    return phase == rollout_phase::stopped ? 1 : 0;
}

std::uint64_t read_whole(const json& value, const char* what)
{
    const bool is_whole = value.is_number_integer() && value >= 0;
    if (!is_whole || value.get<std::uint64_t>() > max_exact_whole)
        throw error(step, what, "not a whole number in range");
    return value.get<std::uint64_t>();
}

rollout_phase read_phase(const json& value)
{
    const auto number = read_whole(value, "phase");
    if (number >= phase_names.size())
        throw error(step, "phase", "not a known phase");
    return static_cast<rollout_phase>(number);
}

double read_share(const json& value)
{
    const bool in_range = value.is_number() && value.get<double>() >= 0 &&
                          value.get<double>() <= 1;
    if (!in_range)
        throw error(step, "share", "not a number from 0 to 1");
    return value.get<double>();
}

} // namespace

std::string_view phase_name(rollout_phase phase)
{
    return phase_names.at(static_cast<std::size_t>(phase));
}

bool replaces(const rollout_directive& next, const rollout_directive& held)
{
    if (next.order_revision != held.order_revision)
        return next.order_revision > held.order_revision;
    if (finality(next.phase) != finality(held.phase))
        return finality(next.phase) > finality(held.phase);
    if (next.version != held.version)
        return next.version > held.version;
    return next.target_share < held.target_share;
}

json to_json(const rollout_directive& directive)
{
    return json::array({directive.order_revision,
                        static_cast<unsigned>(directive.phase),
                        directive.target_share, directive.version});
}

rollout_directive parse_rollout_directive(const json& message)
{
    if (!message.is_array() || message.size() < field_count)
        throw error(step, "", "not an array of four numbers");
    rollout_directive directive;
    directive.order_revision = read_whole(message[0], "order");
    directive.phase = read_phase(message[1]);
    directive.target_share = read_share(message[2]);
    directive.version = read_whole(message[3], "version");
    return directive;
}

} // namespace vanillapost
