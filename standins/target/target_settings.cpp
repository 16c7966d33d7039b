#include "target_settings.hpp"

#include <map>
#include <vanillapost/src/records/field_reader.hpp>

namespace vanillapost::standin {

namespace {

using detail::field_reader;
using std::chrono::milliseconds;

constexpr std::int64_t max_slots = 100'000;
constexpr std::int64_t max_ms = 600'000;
constexpr double max_factor = 10'000.0;
constexpr std::string_view parse_step = "parse targets";

int read_count(field_reader& reader, std::string_view name, int fallback)
{
    return static_cast<int>(reader.integer(name, 0, max_slots, fallback));
}

duration read_ms(field_reader& reader, std::string_view name, duration value)
{
    const auto fallback = std::chrono::duration_cast<milliseconds>(value);
    return milliseconds(reader.integer(name, 0, max_ms, fallback.count()));
}

void read_behaviour(field_reader& reader, target_settings& target)
{
    const auto kind = reader.choice("class", {"lookup", "booking", "download"},
                                    static_cast<std::size_t>(target.kind));
    target.kind = static_cast<request_kind>(kind);
    auto& time = target.times.at(kind);
    time.median_ms = reader.number("median_ms", 0.0, max_ms, time.median_ms);
    time.sigma = reader.number("sigma", 0.0, 3.0, time.sigma);
    target.file_bytes_per_second =
        reader.integer("file_bytes_per_second", 1024, 1'000'000'000,
                       target.file_bytes_per_second);
    target.starts_cold = reader.boolean("starts_cold", target.starts_cold);
    target.cold_completions =
        read_count(reader, "cold_completions", target.cold_completions);
    target.cold_factor =
        reader.number("cold_factor", 1.0, max_factor, target.cold_factor);
    target.load_lag = read_ms(reader, "load_lag_ms", target.load_lag);
    target.connection_cost =
        read_ms(reader, "connection_cost_ms", target.connection_cost);
    target.shed = reader.boolean("shed", target.shed);
    target.seed = static_cast<std::uint64_t>(reader.integer(
        "seed", 0, max_ms, static_cast<std::int64_t>(target.seed)));
}

target_settings parse_target(const nlohmann::json& document,
                             const target_settings& defaults,
                             const std::string& peer)
{
    field_reader reader(document);
    auto target = defaults;
    target.name = reader.text("name");
    target.service = reader.text("service", target.service);
    target.address = reader.text("address");
    target.slots = read_count(reader, "slots", target.slots);
    target.cold_slots = read_count(reader, "cold_slots", target.cold_slots);
    target.connections = read_count(reader, "connections", target.connections);
    read_behaviour(reader, target);
    reader.finish(parse_step, peer);
    return target;
}

target_settings to_settings(const target_record& record, request_kind kind,
                            const target_settings& defaults)
{
    auto target = defaults;
    target.name = record.name.value;
    target.service = record.service.value;
    target.address = record.address;
    target.slots = record.slots;
    target.cold_slots = record.cold_slots;
    target.connections = record.connections;
    target.kind = kind;
    return target;
}

} // namespace

std::vector<target_settings> parse_targets(const nlohmann::json& document,
                                           const target_settings& defaults,
                                           const std::string& peer)
{
    if (!document.is_array())
        throw error(parse_step, peer, "not a list of targets");
    std::vector<target_settings> result;
    for (const auto& each : document) {
        result.push_back(parse_target(each, defaults, peer));
        result.back().seed += result.size();
    }
    return result;
}

std::vector<target_settings>
targets_of_records(const std::vector<nlohmann::json>& documents,
                   const target_settings& defaults)
{
    record_set records;
    for (const auto& document : documents) {
        const auto value = parse_record_document(document, "records");
        records.apply({record_key(value), 1, document.dump()});
    }
    std::vector<target_settings> result;
    for (const auto& [name, target] : records.targets()) {
        const auto* service = records.find(target.service);
        const auto kind = service ? service->kind : request_kind::idempotent;
        result.push_back(to_settings(target, kind, defaults));
        result.back().seed += result.size();
    }
    return result;
}

} // namespace vanillapost::standin
