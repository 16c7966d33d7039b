#include "vanillapost/src/io/address.hpp"
#include "fuzz_target.hpp"

void vanillapost::fuzz::decode(std::string_view bytes)
{
    const bool connectable = is_connectable_address(bytes);
    const auto parsed = io::parse_address(bytes);
    require(io::parse_address(io::to_string(parsed)) == parsed);
    require(!connectable || parsed.port != 0);
}
