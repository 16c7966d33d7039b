#include "../../platform/decode.hpp"
#include "fuzz_target.hpp"

// The key is the first line.
void vanillapost::fuzz::decode(std::string_view bytes)
{
    const auto end = std::min(bytes.find('\n'), bytes.size());
    const auto text = bytes.substr(std::min(end + 1, bytes.size()));
    const auto target = platform::decode_target(bytes.substr(0, end), text);
    require(is_header_word(target.id.value));
    require(is_connectable_address(target.address));
    require(is_name_text(target.service.value));
    require(is_name_text(target.data_centre.value));
    require(target.slots >= 1 && target.slots <= 100'000);
    require(target.start_unix_ms >= 0 && target.sequence >= 0);
    require(target.cold_left >= duration::zero());
}
