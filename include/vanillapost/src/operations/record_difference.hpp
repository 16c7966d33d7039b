#ifndef VANILLAPOST_SRC_OPERATIONS_RECORD_DIFFERENCE_HPP
#define VANILLAPOST_SRC_OPERATIONS_RECORD_DIFFERENCE_HPP

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillapost {

/// One field that differs between two records; null where there is none.
struct field_difference
{
    std::string field; ///< path of the field, such as "/slots"
    nlohmann::json before;
    nlohmann::json after;

    bool operator==(const field_difference&) const = default;
};

/// What changes from one record text to another, field by field.
///
/// Texts of schema version 1 are compared as version 2, so that a record that
/// is only rewritten shows no difference. A text that is no record is shown
/// whole, as the field "".
///
/// \param before  absent when there is no record yet
/// \param after   absent when the record is withdrawn
std::vector<field_difference>
record_difference(const std::optional<std::string>& before,
                  const std::optional<std::string>& after);

} // namespace vanillapost

#endif
