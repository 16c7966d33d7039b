#include "adapters/records_adapter.hpp"

#include "vanillapost/base.hpp"
#include "vanillapost/records.hpp"

#include <algorithm>

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::string_view record_prefix = "records/";
constexpr std::string_view state_header = "Target-State";
/// How long a target counts as cold. Targets report in every answer whether
/// they are cold, so this must not expire between answers.
constexpr duration cold_until_next_answer = 24h;
/// Bounds the counts of a load report, so that their sums stay small.
constexpr int max_load_count = 1'000'000;

bool is_valid_count(const std::optional<int>& value)
{
    return value && *value >= 0 && *value <= max_load_count;
}

// Parses "IN_FLIGHT/SLOTS".
std::optional<load_report> read_load(std::string_view header)
{
    const auto slash = header.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const auto in_flight = parse_number<int>(header.substr(0, slash));
    const auto slots = parse_number<int>(header.substr(slash + 1));
    if (!is_valid_count(in_flight) || !is_valid_count(slots))
        return std::nullopt;
    return load_report{*in_flight, 0, std::max(*slots, 1), 1};
}

target_signals read_target_signals(std::span<const io::header_field> headers)
{
    const auto state = io::find_header(headers, state_header);
    if (!state)
        return {};
    return {*state == "cold" ? cold_until_next_answer : duration::zero(),
            *state == "draining"};
}

std::string write_addresses(const std::vector<std::string>& addresses,
                            duration lifetime)
{
    return json{{"addresses", addresses}, {"max_age_ms", to_ms(lifetime)}}
        .dump();
}

// HTTP defines the header in whole seconds.
std::string write_retry_after(duration wait)
{
    return std::to_string(
        std::chrono::ceil<std::chrono::seconds>(wait).count());
}

/// Applies changed rows to the set of records, and derives from it the
/// configuration, the targets and the evacuated data centres.
class active_records
{
public:
    operator_change apply_rows(std::span<const io::store_row> changed)
    {
        operator_change result;
        for (const auto& row : changed)
            apply_row(row, result);
        auto built = make_configuration(records_);
        for (auto& each : built.unusable)
            result.unreadable.push_back(
                {"route/" + each.name, std::move(each.reason)});
        result.config = std::move(built.config);
        result.targets = make_targets(records_);
        for (const auto& [name, record] : records_.data_centres())
            if (record.state == service_state::out)
                result.evacuated.insert(name);
        return result;
    }

private:
    void apply_row(const io::store_row& row, operator_change& result)
    {
        auto key = std::string(record_prefix) + row.key;
        record_row update{key, row.revision, std::nullopt};
        if (!row.removed)
            update.text = row.value;
        if (records_.apply(update) == apply_result::refused)
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
    // Every answer of a target has this header; answers of intermediaries do
    // not.
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
        [records =
             active_records()](std::span<const io::store_row> changed) mutable {
            return records.apply_rows(changed);
        };
    return result;
}

} // namespace

platform_adapter make_records_adapter()
{
    platform_adapter result;
    result.headers = make_header_names();
    result.rows = make_row_schema();
    result.readiness_path = "/readyz";
    result.directory_path = "/v1/entries";
    result.data_centre_parameter = "data_centre";
    result.serves_own_paths_to_callers = true;
    // Targets reject requests beyond their slots.
    result.queue_per_slot = 0;
    result.read_load = &read_load;
    result.read_target_signals = &read_target_signals;
    result.write_addresses = &write_addresses;
    result.write_retry_after = &write_retry_after;
    return result;
}

} // namespace vanillapost::router
