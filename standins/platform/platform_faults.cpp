#include "platform_faults.hpp"

#include <vanillapost/src/records/field_reader.hpp>

namespace vanillapost::standin {

namespace {

constexpr std::int64_t max_delay_ms = 600'000;

enum class fault_kind
{
    down,
    slow,
    lose_answers,
    cut
};

} // namespace

void add_fault(platform_faults& faults, const nlohmann::json& command)
{
    using std::chrono::milliseconds;
    detail::field_reader reader(command);
    const auto kind = static_cast<fault_kind>(
        reader.choice("fault", {"down", "slow", "lose_answers", "cut"}));
    auto changed = faults;
    switch (kind) {
    case fault_kind::down:
        changed.down = true;
        changed.silent = reader.boolean("silent", false);
        break;
    case fault_kind::slow:
        changed.delay =
            milliseconds(reader.integer("delay_ms", 0, max_delay_ms));
        changed.jitter =
            milliseconds(reader.integer("jitter_ms", 0, max_delay_ms, 0));
        break;
    case fault_kind::lose_answers:
        changed.lose_answers = reader.number("share", 0.0, 1.0, 1.0);
        changed.lose_prefix = reader.text("prefix", "");
        changed.lose_count =
            static_cast<int>(reader.integer("count", -1, 1'000'000, -1));
        break;
    case fault_kind::cut:
        changed.cut.insert(reader.text("client"));
        break;
    }
    reader.finish("fault", "control");
    faults = std::move(changed);
}

} // namespace vanillapost::standin
