#ifndef VANILLAPOST_SRC_RECORDS_FIELD_ERROR_HPP
#define VANILLAPOST_SRC_RECORDS_FIELD_ERROR_HPP

#include "../base/error.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace vanillapost {

/// One thing wrong with a JSON document.
struct field_problem
{
    std::string field;    ///< path of the field, such as "/slots"
    std::string found;    ///< what stands there
    std::string expected; ///< what may stand there

    bool operator==(const field_problem&) const = default;
};

/// Thrown when a document has problems; carries all of them.
class field_error : public error
{
public:
    field_error(std::string_view step, std::string_view peer,
                std::vector<field_problem> problems);

    std::span<const field_problem> problems() const
    {
        return problems_;
    }

private:
    std::vector<field_problem> problems_;
};

} // namespace vanillapost

#endif
