#include "state/state_difference.hpp"

#include <algorithm>

namespace vanillapost::router {

namespace {

using nlohmann::json;

/// Assumed for peers of earlier versions, which do not send the time left.
constexpr duration default_relist_left = std::chrono::milliseconds(2500);

json to_bytes(const std::string& text)
{
    return json::binary({text.begin(), text.end()});
}

std::string parse_bytes(const json& document)
{
    const auto& bytes = document.get_binary();
    return {bytes.begin(), bytes.end()};
}

std::uint64_t parse_revision(const json& document)
{
    if (!document.is_number_unsigned() ||
        document.get<std::uint64_t>() > max_exact_whole)
        throw error("read state", "",
                    "a revision is not a whole number in range");
    return document.get<std::uint64_t>();
}

// Peers of earlier versions leave such fields out: `fallback` then counts.
duration parse_time(const json& document, const char* field,
                    duration fallback = {})
{
    constexpr std::int64_t max_ms = 3'600'000;
    const auto found = document.find(field);
    if (found == document.end())
        return fallback;
    if (!found->is_number_unsigned() || *found > max_ms)
        throw error("read state", "",
                    std::string(field) + " is not a time in range");
    return std::chrono::milliseconds(found->get<std::int64_t>());
}

std::uint64_t newest_revision(const state_difference& difference)
{
    std::uint64_t result = difference.revision;
    for (const auto& row : difference.rows)
        result = std::max(result, row.revision);
    return result;
}

io::store_row parse_row(const json& document, std::uint64_t newest)
{
    io::store_row row;
    row.key = parse_bytes(document.at("key"));
    row.value = parse_bytes(document.at("value"));
    row.revision = parse_revision(document.at("revision"));
    if (row.revision > newest)
        throw error("read state", "",
                    "a row is newer than the newest revision");
    row.removed = document.at("removed").get<bool>();
    return row;
}

} // namespace

json to_message(const state_difference& difference)
{
    json rows = json::array();
    for (const auto& row : difference.rows)
        rows.push_back({{"key", to_bytes(row.key)},
                        {"value", to_bytes(row.value)},
                        {"revision", row.revision},
                        {"removed", row.removed}});
    return {{"after", difference.after},
            {"revision", difference.revision},
            {"newest", newest_revision(difference)},
            {"whole", difference.whole},
            {"after_outage", difference.after_outage},
            {"age", to_ms(difference.age)},
            {"relist_left", to_ms(difference.relist_left)},
            {"restored", difference.restored},
            {"rows", std::move(rows)}};
}

state_difference parse_state_difference(const json& document)
{
    try {
        state_difference result;
        result.after = parse_revision(document.at("after"));
        result.revision = parse_revision(document.at("revision"));
        result.whole = document.at("whole").get<bool>();
        result.after_outage = document.at("after_outage").get<bool>();
        result.age = parse_time(document, "age");
        result.relist_left =
            parse_time(document, "relist_left",
                       result.after_outage ? default_relist_left : duration{});
        // Peers of earlier versions do not send it.
        result.restored = document.value("restored", false);
        const auto newest = document.contains("newest")
                                ? parse_revision(document.at("newest"))
                                : result.revision;
        for (const auto& row : document.at("rows"))
            result.rows.push_back(parse_row(row, newest));
        return result;
    } catch (const json::exception& failure) {
        throw error("read state", "", failure.what());
    }
}

namespace {

// Bytes of a row in a message beside its key and value, and of the message
// beside its rows.
constexpr std::size_t row_overhead_bytes = 40;
constexpr std::size_t message_overhead_bytes = 160;

/// Collects the rows of a difference into parts of at most `max_bytes`.
class difference_splitter
{
public:
    difference_splitter(const state_difference& whole, std::size_t max_bytes)
        : whole_(whole), max_bytes_(max_bytes), reached_(whole.after)
    {
    }

    /// Adds all rows of one revision. Revisions have to ascend.
    void add(std::span<const io::store_row> rows)
    {
        std::size_t bytes = 0;
        for (const auto& row : rows)
            bytes += row_overhead_bytes + row.key.size() + row.value.size();
        const auto revision = rows.front().revision;
        if (message_overhead_bytes + bytes > max_bytes_) {
            accepts_rows_ = false;
            reached_ = revision;
            return;
        }
        if (!accepts_rows_ || bytes_ + bytes > max_bytes_)
            begin_part();
        bytes_ += bytes;
        auto& part = parts_.back();
        part.rows.insert(part.rows.end(), rows.begin(), rows.end());
        part.revision = whole_.has_rows_only() ? whole_.revision : revision;
        reached_ = revision;
    }

    std::vector<state_difference> finish()
    {
        // No change lies between the last row and the end of the difference.
        if (accepts_rows_)
            parts_.back().revision = whole_.revision;
        return std::move(parts_);
    }

private:
    void begin_part()
    {
        state_difference part = {whole_.has_rows_only() ? whole_.after
                                                        : reached_,
                                 0,
                                 false,
                                 whole_.after_outage,
                                 {},
                                 whole_.age,
                                 whole_.relist_left,
                                 whole_.restored};
        parts_.push_back(std::move(part));
        bytes_ = message_overhead_bytes;
        accepts_rows_ = true;
    }

    const state_difference& whole_;
    std::size_t max_bytes_;
    std::uint64_t reached_;
    std::vector<state_difference> parts_;
    std::size_t bytes_ = 0;
    bool accepts_rows_ = false; ///< whether the last part may take more rows
};

} // namespace

std::vector<state_difference> split(const state_difference& difference,
                                    std::size_t max_bytes)
{
    if (difference.whole)
        return {};
    auto rows = difference.rows;
    std::ranges::stable_sort(rows, {}, &io::store_row::revision);
    difference_splitter splitter(difference, max_bytes);
    for (auto begin = rows.begin(); begin != rows.end();) {
        const auto end = std::find_if(begin, rows.end(), [&](const auto& row) {
            return row.revision != begin->revision;
        });
        splitter.add({begin, end});
        begin = end;
    }
    return splitter.finish();
}

bool covers(std::span<const state_difference> parts,
            const state_difference& difference)
{
    auto reached = difference.after;
    std::size_t rows = 0;
    for (const auto& part : parts) {
        if (part.after > reached)
            return false;
        reached = std::max(reached, part.revision);
        rows += part.rows.size();
    }
    return reached >= difference.revision && rows == difference.rows.size();
}

} // namespace vanillapost::router
