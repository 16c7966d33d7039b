// Takes in rows of records as they come, in any order, and prints how many
// requests each target may have in flight.
#include <iostream>
#include <vanillapost/records.hpp>

int main()
{
    using namespace vanillapost;
    record_set records;
    const std::vector<record_row> rows = {
        {"records/service/lookup", 1,
         R"({"schema":2,"kind":"service","name":"lookup","class":"lookup",
             "limit":3})"},
        {"records/target/t1", 4,
         R"({"schema":2,"kind":"target","name":"t1","service":"lookup",
             "data_centre":"a","address":"127.0.0.1:9001","slots":2})"},
        {"records/target/t2", 3,
         R"({"schema":1,"kind":"target","name":"t2","service":"lookup",
             "zone":"b","address":"127.0.0.1:9002","limit":2})"},
        {"records/target/t1", 2, std::nullopt}};
    int ignored = 0;
    for (const auto& row : rows)
        ignored += records.apply(row) == apply_result::older;
    int shared = 0;
    for (const auto& [name, slots] : share_limits(records)) {
        std::cout << name.value << ": " << slots << "\n";
        shared += slots;
    }
    const bool as_expected = shared == 3 && ignored == 1;
    return as_expected ? 0 : 1;
}
