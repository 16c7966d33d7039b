#include "fuzz_target.hpp"
#include "vanillapost/exposition.hpp"

void vanillapost::fuzz::decode(std::string_view bytes)
{
    const auto samples = parse_metrics_text(bytes, "test");
    for (const auto& [service, count] : count_answers(samples)) {
        require(is_utf8(service.value));
        require(count.good <= count.total);
    }
}
