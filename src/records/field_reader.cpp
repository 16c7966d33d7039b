#include "vanillapost/src/records/field_reader.hpp"

#include <algorithm>

namespace vanillapost::detail {

namespace {

constexpr std::size_t max_shown_bytes = 80;

std::string show(const nlohmann::json& value)
{
    std::string text =
        value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() > max_shown_bytes) {
        text.resize(max_shown_bytes);
        text += "...";
    }
    return text;
}

std::string range_text(std::string_view what, const std::string& low,
                       const std::string& high)
{
    return std::string(what) + " from " + low + " to " + high;
}

} // namespace

field_reader::field_reader(const nlohmann::json& object, std::string path)
    : object_(&object), path_(std::move(path))
{
    if (!object.is_object())
        problems_.push_back(
            {path_.empty() ? "/" : path_, show(object), "an object"});
}

const nlohmann::json* field_reader::find(std::string_view name)
{
    known_.emplace(name);
    if (!object_->is_object())
        return nullptr;
    auto found = object_->find(std::string(name));
    return found == object_->end() ? nullptr : &*found;
}

const nlohmann::json* field_reader::require(std::string_view name,
                                            std::string_view expected)
{
    const auto* value = find(name);
    if (!value && object_->is_object())
        problem(name, "nothing", expected);
    return value;
}

void field_reader::problem(std::string_view name, std::string_view found,
                           std::string_view expected)
{
    problems_.push_back({path_ + "/" + std::string(name), std::string(found),
                         std::string(expected)});
}

std::string field_reader::text(std::string_view name)
{
    constexpr std::string_view expected = "a text that is not empty";
    const auto* value = require(name, expected);
    if (!value)
        return {};
    if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
        problem(name, show(*value), expected);
        return {};
    }
    return value->get<std::string>();
}

std::string field_reader::text(std::string_view name, std::string_view fallback)
{
    return find(name) ? text(name) : std::string(fallback);
}

std::int64_t field_reader::checked(std::string_view name,
                                   const nlohmann::json& value,
                                   std::int64_t low, std::int64_t high)
{
    const bool fits =
        value.is_number_integer() &&
        !(value.is_number_unsigned() &&
          value.get<std::uint64_t>() >
              static_cast<std::uint64_t>(std::max<std::int64_t>(high, 0))) &&
        value.get<std::int64_t>() >= low && value.get<std::int64_t>() <= high;
    if (fits)
        return value.get<std::int64_t>();
    problem(
        name, show(value),
        range_text("an integer", std::to_string(low), std::to_string(high)));
    return low;
}

std::int64_t field_reader::integer(std::string_view name, std::int64_t low,
                                   std::int64_t high)
{
    const auto* value = require(name, "an integer");
    return value ? checked(name, *value, low, high) : low;
}

std::int64_t field_reader::integer(std::string_view name, std::int64_t low,
                                   std::int64_t high, std::int64_t fallback)
{
    const auto* value = find(name);
    return value ? checked(name, *value, low, high) : fallback;
}

std::optional<std::int64_t>
field_reader::optional_integer(std::string_view name, std::int64_t low,
                               std::int64_t high)
{
    const auto* value = find(name);
    if (!value || value->is_null())
        return std::nullopt;
    return checked(name, *value, low, high);
}

double field_reader::number(std::string_view name, double low, double high,
                            double fallback)
{
    const auto* value = find(name);
    if (!value)
        return fallback;
    if (value->is_number() && value->get<double>() >= low &&
        value->get<double>() <= high)
        return value->get<double>();
    problem(name, show(*value),
            range_text("a number", nlohmann::json(low).dump(),
                       nlohmann::json(high).dump()));
    return fallback;
}

bool field_reader::boolean(std::string_view name, bool fallback)
{
    const auto* value = find(name);
    if (!value)
        return fallback;
    if (value->is_boolean())
        return value->get<bool>();
    problem(name, show(*value), "true or false");
    return fallback;
}

std::size_t
field_reader::choice(std::string_view name,
                     std::initializer_list<std::string_view> choices,
                     std::optional<std::size_t> fallback)
{
    std::string expected = "one of";
    for (auto each : choices)
        expected += " \"" + std::string(each) + "\"";
    const auto* value = fallback ? find(name) : require(name, expected);
    if (!value)
        return fallback.value_or(0);
    if (value->is_string()) {
        const auto& text = value->get_ref<const std::string&>();
        const auto* found = std::find(choices.begin(), choices.end(), text);
        if (found != choices.end())
            return static_cast<std::size_t>(found - choices.begin());
    }
    problem(name, show(*value), expected);
    return 0;
}

const nlohmann::json* field_reader::child(std::string_view name)
{
    return find(name);
}

void field_reader::merge(field_reader& nested)
{
    nested.reject_unknown();
    problems_.insert(problems_.end(), nested.problems_.begin(),
                     nested.problems_.end());
    nested.problems_.clear();
}

void field_reader::reject_unknown()
{
    if (!object_->is_object())
        return;
    for (const auto& [name, value] : object_->items()) {
        if (!known_.contains(name))
            problem(name, show(value), "no such field");
    }
}

void field_reader::finish(std::string_view step, std::string_view peer)
{
    reject_unknown();
    if (!problems_.empty())
        throw field_error(step, peer, std::move(problems_));
}

} // namespace vanillapost::detail
