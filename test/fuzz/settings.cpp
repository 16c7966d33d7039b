#include "../../apps/router/router_settings.hpp"
#include "fuzz_target.hpp"
#include "vanillapost/attempts.hpp"

void vanillapost::fuzz::decode(std::string_view bytes)
{
    const auto settings = router::parse_router_settings(bytes, "test");
    for (const auto& seed : settings.seeds)
        require(is_connectable_address(seed));
    const auto text = router::to_json(settings).dump();
    router::parse_router_settings(text, "test");
    retry_budget budget(settings.repeats, {});
    budget.on_request({});
    budget.has_room({}, 0);
}
