#include "../../platform/decode.hpp"
#include "fuzz_target.hpp"
#include "vanillapost/placement.hpp"

#include <cmath>

// Values of headers, times and addresses.
void vanillapost::fuzz::decode(std::string_view bytes)
{
    if (const auto load = platform::decode_load(bytes)) {
        require(load->running >= 0 && load->waiting >= 0 && load->slots >= 1);
        require(std::isfinite(load->slowdown_factor) &&
                load->slowdown_factor > 0);
    }
    if (const auto left = platform::decode_milliseconds(bytes))
        require(*left >= duration::zero());
    if (const auto time = parse_duration(bytes))
        require(*time >= duration::zero());
    const auto limit = parse_rate_limit(bytes);
    if (const auto* named = std::get_if<double>(&limit))
        require(*named >= 0 && *named <= highest_rate_limit);
    if (const auto zone = platform::decode_evacuation(bytes))
        require(is_name_text(zone->value));
}
