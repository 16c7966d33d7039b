#include "vanillapost/src/exposition/answer_counts.hpp"

#include "vanillapost/src/base/text_check.hpp"

#include <cstdint>

namespace vanillapost {

namespace {

std::uint64_t to_count(double value)
{
    // A double counts exactly up to here.
    constexpr double largest = 9007199254740992.0;
    if (!(value > 0))
        return 0;
    return static_cast<std::uint64_t>(value < largest ? value : largest);
}

} // namespace

std::map<service_id, answer_count>
count_answers(std::span<const metric_sample> samples)
{
    std::map<service_id, answer_count> counts;
    for (const auto& sample : samples) {
        if (sample.name != request_counter_name)
            continue;
        const auto service = sample.label("service");
        // It is written into reports, which are JSON.
        if (!service.empty() && !is_name_text(service))
            continue;
        auto& count = counts[service_id{std::string(service)}];
        const auto answers = to_count(sample.value);
        count.total += answers;
        if (sample.label("result") == "good")
            count.good += answers;
    }
    return counts;
}

} // namespace vanillapost
