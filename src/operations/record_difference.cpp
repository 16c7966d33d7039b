#include "vanillapost/src/operations/record_difference.hpp"

#include "vanillapost/src/records/parse_record.hpp"

#include <set>

namespace vanillapost {

namespace {

nlohmann::json as_document(const std::optional<std::string>& text)
{
    if (!text)
        return nullptr;
    try {
        return to_json(parse_record(*text, "difference"));
    } catch (const error&) {
        return *text;
    }
}

nlohmann::json member(const nlohmann::json& document, const std::string& name)
{
    if (!document.is_object())
        return nullptr;
    const auto found = document.find(name);
    return found == document.end() ? nlohmann::json() : *found;
}

std::set<std::string> field_names(const nlohmann::json& document)
{
    std::set<std::string> names;
    if (!document.is_object())
        return names;
    for (const auto& each : document.items())
        names.insert(each.key());
    return names;
}

bool is_record_or_absent(const nlohmann::json& document)
{
    return document.is_object() || document.is_null();
}

} // namespace

std::vector<field_difference>
record_difference(const std::optional<std::string>& before,
                  const std::optional<std::string>& after)
{
    const auto old_document = as_document(before);
    const auto new_document = as_document(after);
    if (old_document == new_document)
        return {};
    if (!is_record_or_absent(old_document) ||
        !is_record_or_absent(new_document))
        return {{"", old_document, new_document}};
    auto names = field_names(old_document);
    names.merge(field_names(new_document));
    std::vector<field_difference> result;
    for (const auto& name : names) {
        auto from = member(old_document, name);
        auto to = member(new_document, name);
        if (from != to)
            result.push_back({"/" + name, std::move(from), std::move(to)});
    }
    return result;
}

} // namespace vanillapost
