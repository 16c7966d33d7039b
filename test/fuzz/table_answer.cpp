#include "fuzz_target.hpp"
#include "vanillapost/src/io/detail/platform_codec.hpp"

// Answers of the product's own table.
void vanillapost::fuzz::decode(std::string_view bytes)
{
    namespace codec = io::detail;
    decode_or_refuse([&] { codec::parse_row(bytes); });
    decode_or_refuse([&] { codec::parse_transaction_done(bytes); });
    decode_or_refuse([&] { codec::parse_transaction_conflict(bytes); });
    const auto changes = codec::parse_changes(bytes);
    for (const auto& row : changes.rows)
        require(is_name_text(row.key, 512) && row.at <= changes.latest);
}
