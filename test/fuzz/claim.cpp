#include "fuzz_target.hpp"
#include "vanillapost/idempotency.hpp"

void vanillapost::fuzz::decode(std::string_view bytes)
{
    const auto claim = parse_claim(bytes, "test");
    const bool done = claim.state == claim_state::done;
    require(!done || claim.outcome.status >= 200);
    for (const auto& [name, value] : claim.outcome.headers) {
        require(is_header_word(name));
        require(value.find_first_of("\r\n") == std::string::npos);
    }
    if (done)
        require(parse_claim(to_text(claim), "test") == claim);
}
