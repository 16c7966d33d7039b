#include "target_faults.hpp"

#include <vanillapost/src/records/field_reader.hpp>

namespace vanillapost::standin {

namespace {

using detail::field_reader;
using std::chrono::milliseconds;

constexpr std::int64_t max_ms = 600'000;
constexpr int max_count = 1'000'000;

enum class fault_kind
{
    slow,
    cold,
    drain,
    fail_fast,
    freeze,
    stale_load,
    truncate_once,
    late_ms
};

duration read_ms(field_reader& reader, std::string_view name,
                 std::int64_t fallback)
{
    return milliseconds(reader.integer(name, 0, max_ms, fallback));
}

target_fault read_fault(field_reader& reader, fault_kind kind)
{
    switch (kind) {
    case fault_kind::slow:
        return slow_fault{reader.number("factor", 0.0, 10'000.0, 10.0)};
    case fault_kind::cold:
        return cold_fault{};
    case fault_kind::drain:
        return drain_fault{read_ms(reader, "announced_ms", 0)};
    case fault_kind::fail_fast:
        return fail_fast_fault{reader.number("share", 0.0, 1.0, 1.0)};
    case fault_kind::freeze:
        return freeze_fault{read_ms(reader, "ms", 1000)};
    case fault_kind::stale_load:
        return stale_load_fault{};
    case fault_kind::truncate_once:
        return truncate_fault{
            static_cast<int>(reader.integer("count", 1, max_count, 1))};
    case fault_kind::late_ms:
        break;
    }
    return late_fault{read_ms(reader, "ms", 1000),
                      reader.number("share", 0.0, 1.0, 1.0)};
}

} // namespace

target_fault parse_target_fault(const nlohmann::json& command)
{
    field_reader reader(command);
    const auto kind = static_cast<fault_kind>(
        reader.choice("fault", {"slow", "cold", "drain", "fail_fast", "freeze",
                                "stale_load", "truncate_once", "late_ms"}));
    auto result = read_fault(reader, kind);
    reader.finish("fault", "control");
    return result;
}

} // namespace vanillapost::standin
