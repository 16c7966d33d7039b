#include "vanillapost/src/records/field_error.hpp"

namespace vanillapost {

namespace {

std::string join(std::span<const field_problem> problems)
{
    std::string text;
    for (const auto& each : problems) {
        if (!text.empty())
            text += "; ";
        text += each.field + ": found " + each.found + ", expected " +
                each.expected;
    }
    return text;
}

} // namespace

field_error::field_error(std::string_view step, std::string_view peer,
                         std::vector<field_problem> problems)
    : error(step, peer, join(problems)), problems_(std::move(problems))
{
}

} // namespace vanillapost
