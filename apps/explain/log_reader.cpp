#include "log_reader.hpp"

#include "vanillapost/base.hpp"
#include "vanillapost/records.hpp"

#include <algorithm>

namespace vanillapost::explain {

namespace {

/// Longest line that is of a router; others may stand in the same file.
constexpr std::size_t max_line_bytes = 256 * 1024;

/// Null for what is no JSON, too long or nested so deep that a copy of it
/// would overflow the stack.
nlohmann::json parse_fields(std::string_view text)
{
    try {
        return parse_bounded_json(text, max_line_bytes, "read log", "");
    } catch (const error&) {
        return nullptr;
    }
}

} // namespace

std::string log_line::field(std::string_view name) const
{
    const auto found = fields.find(name);
    if (found == fields.end() || !found->is_string())
        return "";
    return found->get<std::string>();
}

std::optional<log_line> parse_log_line(std::string_view text)
{
    const auto begin = text.find('{');
    if (begin == std::string_view::npos)
        return std::nullopt;
    auto fields = parse_fields(text.substr(begin));
    if (!fields.is_object())
        return std::nullopt;
    log_line line;
    line.fields = std::move(fields);
    line.time = line.field("time");
    line.instance = line.field("instance");
    line.event = line.field("message");
    if (line.time.empty() || line.event.empty())
        return std::nullopt;
    return line;
}

void read_log(std::istream& input, log_contents& into)
{
    std::string text;
    while (std::getline(input, text)) {
        if (auto line = parse_log_line(text))
            into.lines.push_back(std::move(*line));
        else
            ++into.unreadable;
    }
}

void sort_lines(log_contents& contents)
{
    std::ranges::stable_sort(contents.lines, {}, &log_line::time);
}

} // namespace vanillapost::explain
