#include "languages/records_language.hpp"

#include "vanillapost/base.hpp"
#include "vanillapost/records.hpp"

#include <algorithm>

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::string_view record_prefix = "records/";
constexpr std::string_view state_header = "Target-State";
/// Targets say in every answer whether they are cold, so that this never ends
/// by itself.
constexpr duration until_told = 24h;
/// Figures of a load report; their sums stay small.
constexpr int max_load_figure = 1'000'000;

bool is_figure(const std::optional<int>& value)
{
    return value && *value >= 0 && *value <= max_load_figure;
}

// "in flight/slots"
std::optional<load_report> read_load(std::string_view header)
{
    const auto slash = header.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const auto in_flight = parse_number<int>(header.substr(0, slash));
    const auto slots = parse_number<int>(header.substr(slash + 1));
    if (!is_figure(in_flight) || !is_figure(slots))
        return std::nullopt;
    return load_report{*in_flight, 0, std::max(*slots, 1), 1};
}

target_condition read_condition(std::span<const io::header_field> headers)
{
    const auto state = io::find_header(headers, state_header);
    if (!state)
        return {};
    return {*state == "cold" ? until_told : duration::zero(),
            *state == "draining"};
}

std::string write_addresses(const std::vector<std::string>& addresses,
                            duration lifetime)
{
    return json{{"addresses", addresses}, {"max_age_ms", to_ms(lifetime)}}
        .dump();
}

// Whole seconds, as the header is defined.
std::string write_retry_after(duration wait)
{
    return std::to_string(
        std::chrono::ceil<std::chrono::seconds>(wait).count());
}

/// The records in force, as rows of the table come in.
class records_in_force
{
public:
    operator_change take(std::span<const io::store_row> changed)
    {
        operator_change result;
        for (const auto& row : changed)
            take(row, result);
        auto made = make_configuration(records_);
        for (auto& each : made.unusable)
            result.unreadable.push_back(
                {"route/" + each.name, std::move(each.reason)});
        result.config = std::move(made.config);
        result.targets = make_targets(records_);
        for (const auto& [name, record] : records_.data_centres())
            if (record.state == service_state::out)
                result.evacuated.insert(name);
        return result;
    }

private:
    void take(const io::store_row& row, operator_change& result)
    {
        auto key = std::string(record_prefix) + row.key;
        record_row offered{key, row.revision, std::nullopt};
        if (!row.removed)
            offered.text = row.value;
        if (records_.apply(offered) == apply_result::refused)
            result.unreadable.push_back({row.key, records_.refusal(key)});
    }

    record_set records_;
};

header_names make_header_names()
{
    header_names result;
    result.attempt_id = "Request-Id";
    result.deadline_ms = "Deadline-Ms";
    result.target_instance = "Target-Name";
    // Every answer of a target has it; what stands in between does not.
    result.seal = state_header;
    result.not_executed = "Not-Run";
    result.load = "Target-Load";
    result.instance_id = "Target-Name";
    result.rate_limit = "Target-Limit";
    return result;
}

row_schema make_row_schema()
{
    row_schema result;
    result.operator_table = "records";
    result.member_table = "members";
    result.read_operator_rows =
        [records = records_in_force()](
            std::span<const io::store_row> changed) mutable {
            return records.take(changed);
        };
    return result;
}

} // namespace

platform_language make_records_language()
{
    platform_language result;
    result.headers = make_header_names();
    result.rows = make_row_schema();
    result.readiness_path = "/readyz";
    result.directory_path = "/v1/entries";
    result.data_centre_parameter = "data_centre";
    result.serves_own_paths_to_callers = true;
    // Targets refuse what goes beyond their slots.
    result.queue_per_slot = 0;
    result.read_load = &read_load;
    result.read_condition = &read_condition;
    result.write_addresses = &write_addresses;
    result.write_retry_after = &write_retry_after;
    return result;
}

} // namespace vanillapost::router
