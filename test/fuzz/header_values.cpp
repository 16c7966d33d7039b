#include "../../platform/decode.hpp"
#include "fuzz_target.hpp"

#include <cmath>

// Values of headers, times and addresses.
void vanillapost::fuzz::decode(std::string_view bytes)
{
    if (const auto load = platform::decode_load(bytes)) {
        require(load->running >= 0 && load->waiting >= 0 && load->slots >= 1);
        require(std::isfinite(load->pace) && load->pace > 0);
    }
    if (const auto left = platform::decode_milliseconds(bytes))
        require(*left >= duration::zero());
    if (const auto time = parse_duration(bytes))
        require(*time >= duration::zero());
    if (const auto zone = platform::decode_evacuation(bytes))
        require(is_name_text(zone->value));
}
