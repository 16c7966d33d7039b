#include "../../platform/decode.hpp"
#include "fuzz_target.hpp"

#include <cmath>

void vanillapost::fuzz::decode(std::string_view bytes)
{
    const auto config = platform::decode_configuration(bytes);
    for (const auto& service : config.services) {
        require(is_name_text(service.id.value));
        require(is_header_word(service.health_path, 2048));
        require(service.max_connections >= 0);
        require(std::isfinite(service.cold_requests_per_second));
    }
    for (const auto& route : config.routes) {
        require(!route.parts.empty());
        require(route.max_attempts >= 1 && route.priority >= 0);
        require(route.timeout >= duration::zero());
        for (const auto& part : route.parts)
            require(std::isfinite(part.weight) && part.weight >= 0);
    }
    route_table table(config);
    table.find("a.example", "/x/y");
}
