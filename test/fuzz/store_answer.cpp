#include "../../platform/store_answer.hpp"
#include "fuzz_target.hpp"

// Whatever the rows hold, what is let through can be relied on further on.
void vanillapost::fuzz::decode(std::string_view bytes)
{
    const auto answer = platform::decode_store_answer(bytes);
    const auto& rows = answer.rows;
    for (const auto& row : rows.rows) {
        require(is_name_text(row.key));
        require(row.revision <= rows.revision);
        require(!row.removed || row.value.empty());
    }
    require(!rows.more || !rows.rows.empty());
}
