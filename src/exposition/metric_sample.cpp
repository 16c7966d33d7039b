#include "vanillapost/src/exposition/metric_sample.hpp"

#include "vanillapost/src/base/error.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace vanillapost {

namespace {

constexpr std::string_view parse_step = "parse metrics";

bool is_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '_' || c == ':';
}

/// Reads one line from left to right. Each step returns nothing, or false,
/// where the line is malformed.
class line_reader
{
public:
    explicit line_reader(std::string_view line) : rest_(line)
    {
    }

    std::optional<metric_sample> read(std::size_t max_labels)
    {
        metric_sample sample;
        sample.name = read_name();
        if (sample.name.empty() || !read_labels(sample, max_labels))
            return std::nullopt;
        const auto value = read_value();
        if (!value)
            return std::nullopt;
        sample.value = *value;
        return sample;
    }

private:
    void skip_blanks()
    {
        const auto first = rest_.find_first_not_of(" \t");
        rest_.remove_prefix(std::min(first, rest_.size()));
    }

    bool take(char expected)
    {
        if (rest_.empty() || rest_.front() != expected)
            return false;
        rest_.remove_prefix(1);
        return true;
    }

    std::string read_name()
    {
        skip_blanks();
        std::size_t length = 0;
        while (length < rest_.size() && is_name_character(rest_[length]))
            ++length;
        std::string name(rest_.substr(0, length));
        rest_.remove_prefix(length);
        skip_blanks();
        return name;
    }

    bool read_labels(metric_sample& sample, std::size_t max_labels)
    {
        if (!take('{'))
            return true;
        skip_blanks();
        while (!take('}')) {
            if (sample.labels.size() == max_labels || !read_label(sample))
                return false;
        }
        return true;
    }

    bool read_label(metric_sample& sample)
    {
        auto name = read_name();
        if (name.empty() || !take('='))
            return false;
        skip_blanks();
        auto value = read_quoted();
        if (!value)
            return false;
        sample.labels.insert_or_assign(std::move(name), std::move(*value));
        skip_blanks();
        const bool more = take(',');
        skip_blanks();
        return more || (!rest_.empty() && rest_.front() == '}');
    }

    std::optional<std::string> read_quoted()
    {
        if (!take('"'))
            return std::nullopt;
        std::string value;
        while (!rest_.empty()) {
            char c = rest_.front();
            rest_.remove_prefix(1);
            if (c == '"')
                return value;
            if (c == '\\') {
                if (rest_.empty())
                    return std::nullopt;
                c = rest_.front() == 'n' ? '\n' : rest_.front();
                rest_.remove_prefix(1);
            }
            value += c;
        }
        return std::nullopt;
    }

    std::optional<double> read_value()
    {
        skip_blanks();
        if (!rest_.empty() && rest_.front() == '+')
            rest_.remove_prefix(1);
        const auto word = rest_.substr(0, rest_.find_first_of(" \t"));
        double value = 0;
        const auto [end, failure] =
            std::from_chars(word.data(), word.data() + word.size(), value);
        if (failure != std::errc() || end != word.data() + word.size())
            return std::nullopt;
        return value;
    }

    std::string_view rest_;
};

std::string_view take_line(std::string_view& text)
{
    const auto length = std::min(text.find('\n'), text.size());
    auto line = text.substr(0, length);
    text.remove_prefix(std::min(length + 1, text.size()));
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    return line;
}

bool is_skipped(std::string_view line)
{
    const auto first = line.find_first_not_of(" \t");
    return first == std::string_view::npos || line[first] == '#';
}

} // namespace

std::string_view metric_sample::label(std::string_view label_name) const
{
    const auto found = labels.find(label_name);
    return found == labels.end() ? std::string_view() : found->second;
}

std::vector<metric_sample> parse_metrics_text(std::string_view text,
                                              std::string_view peer,
                                              const metrics_text_limits& limits)
{
    if (text.size() > limits.max_bytes)
        throw error(parse_step, peer,
                    "longer than " + std::to_string(limits.max_bytes) +
                        " bytes");
    std::vector<metric_sample> samples;
    for (std::size_t number = 1; !text.empty(); ++number) {
        const auto line = take_line(text);
        if (is_skipped(line))
            continue;
        if (samples.size() == limits.max_samples)
            throw error(parse_step, peer,
                        "more than " + std::to_string(limits.max_samples) +
                            " samples");
        auto sample = line_reader(line).read(limits.max_labels);
        if (!sample)
            throw error(parse_step, peer,
                        "line " + std::to_string(number) + " is malformed");
        samples.push_back(std::move(*sample));
    }
    return samples;
}

} // namespace vanillapost
