#include "fuzz_target.hpp"
#include "vanillapost/records.hpp"
#include "vanillapost/routes.hpp"

void vanillapost::fuzz::decode(std::string_view bytes)
{
    const auto parsed = parse_record(bytes, "test");
    require(parse_record(to_json(parsed).dump(), "test") == parsed);
    record_set records;
    records.apply({record_key(parsed), 1, std::string(bytes)});
    const auto made = make_configuration(records);
    check_configuration(made.config);
    for (const auto& target : make_targets(records))
        require(is_connectable_address(target.address));
}
