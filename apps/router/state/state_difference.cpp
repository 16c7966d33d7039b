#include "state/state_difference.hpp"

#include <algorithm>

namespace vanillapost::router {

namespace {

using nlohmann::json;

/// Of peers of earlier versions, which do not say how much is left.
constexpr duration whole_relist = std::chrono::milliseconds(2500);

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
        throw error("read state", "", "a revision that makes no sense");
    return document.get<std::uint64_t>();
}

// Left out by peers of earlier versions.
duration parse_time(const json& document, const char* field,
                    duration left_out = {})
{
    constexpr std::int64_t longest_ms = 3'600'000;
    const auto found = document.find(field);
    if (found == document.end())
        return left_out;
    if (!found->is_number_unsigned() || *found > longest_ms)
        throw error("read state", "", std::string(field) + " makes no sense");
    return std::chrono::milliseconds(found->get<std::int64_t>());
}

std::uint64_t newest_row(const state_difference& difference)
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
        throw error("read state", "", "a row newer than the change");
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
            {"newest", newest_row(difference)},
            {"whole", difference.whole},
            {"after_outage", difference.after_outage},
            {"age", to_ms(difference.age)},
            {"relist_left", to_ms(difference.relist_left)},
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
                       result.after_outage ? whole_relist : duration{});
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

// Of a row in a message beside its key and value, and of the message.
constexpr std::size_t row_bytes = 40;
constexpr std::size_t message_bytes = 160;

/// Gathers rows into parts of a difference.
class part_maker
{
public:
    part_maker(const state_difference& whole, std::size_t max_bytes)
        : whole_(whole), max_bytes_(max_bytes), reached_(whole.after)
    {
    }

    /// Rows of one revision, which is above that of those before.
    void add(std::span<const io::store_row> rows)
    {
        std::size_t bytes = 0;
        for (const auto& row : rows)
            bytes += row_bytes + row.key.size() + row.value.size();
        const auto revision = rows.front().revision;
        if (message_bytes + bytes > max_bytes_) {
            open_ = false;
            reached_ = revision;
            return;
        }
        if (!open_ || bytes_ + bytes > max_bytes_)
            begin();
        bytes_ += bytes;
        auto& part = parts_.back();
        part.rows.insert(part.rows.end(), rows.begin(), rows.end());
        part.revision = whole_.is_loose() ? whole_.revision : revision;
        reached_ = revision;
    }

    std::vector<state_difference> finish()
    {
        // Nothing changed between the last row and the end.
        if (open_)
            parts_.back().revision = whole_.revision;
        return std::move(parts_);
    }

private:
    void begin()
    {
        state_difference part = {whole_.is_loose() ? whole_.after : reached_,
                                 0,
                                 false,
                                 whole_.after_outage,
                                 {},
                                 whole_.age,
                                 whole_.relist_left};
        parts_.push_back(std::move(part));
        bytes_ = message_bytes;
        open_ = true;
    }

    const state_difference& whole_;
    std::size_t max_bytes_;
    std::uint64_t reached_;
    std::vector<state_difference> parts_;
    std::size_t bytes_ = 0;
    bool open_ = false; ///< further rows may go into the last part
};

} // namespace

std::vector<state_difference> split(const state_difference& difference,
                                    std::size_t max_bytes)
{
    if (difference.whole)
        return {};
    auto rows = difference.rows;
    std::ranges::stable_sort(rows, {}, &io::store_row::revision);
    part_maker maker(difference, max_bytes);
    for (auto begin = rows.begin(); begin != rows.end();) {
        const auto end = std::find_if(begin, rows.end(), [&](const auto& row) {
            return row.revision != begin->revision;
        });
        maker.add({begin, end});
        begin = end;
    }
    return maker.finish();
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
