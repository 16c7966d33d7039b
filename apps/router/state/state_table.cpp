#include "state/state_table.hpp"

#include <algorithm>
#include <set>

namespace vanillapost::router {

namespace {

using nlohmann::json;

/// Instances learn of removals within seconds; one that was away for longer
/// gets the whole table.
constexpr duration removal_memory = std::chrono::minutes(2);

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
duration parse_age(const json& document)
{
    constexpr std::int64_t longest_ms = 3'600'000;
    const auto found = document.find("age");
    if (found == document.end())
        return {};
    if (!found->is_number_unsigned() || *found > longest_ms)
        throw error("read state", "", "an age that makes no sense");
    return std::chrono::milliseconds(found->get<std::int64_t>());
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
            {"whole", difference.whole},
            {"after_outage", difference.after_outage},
            {"age", to_ms(difference.age)},
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
        result.age = parse_age(document);
        for (const auto& row : document.at("rows"))
            result.rows.push_back(parse_row(row, result.revision));
        return result;
    } catch (const json::exception& failure) {
        throw error("read state", "", failure.what());
    }
}

std::vector<state_difference> split(const state_difference& difference,
                                    std::size_t max_bytes)
{
    // Of a row in a message beside its key and value, and of the message.
    constexpr std::size_t row_bytes = 40;
    constexpr std::size_t message_bytes = 100;
    if (difference.whole || difference.rows.empty())
        return {};
    auto rows = difference.rows;
    std::ranges::stable_sort(rows, {}, &io::store_row::revision);
    std::vector<state_difference> parts;
    std::size_t bytes = 0;
    for (std::size_t begin = 0; begin < rows.size();) {
        auto end = begin;
        std::size_t group = 0;
        while (end < rows.size() &&
               rows[end].revision == rows[begin].revision) {
            group += row_bytes + rows[end].key.size() + rows[end].value.size();
            ++end;
        }
        if (message_bytes + group > max_bytes)
            return {};
        if (parts.empty() || bytes + group > max_bytes) {
            const auto after =
                parts.empty() ? difference.after : parts.back().revision;
            parts.push_back(
                {after, 0, false, difference.after_outage, {}, difference.age});
            bytes = message_bytes;
        }
        bytes += group;
        auto& part = parts.back();
        part.revision = rows[begin].revision;
        part.rows.insert(part.rows.end(), rows.begin() + begin,
                         rows.begin() + end);
        begin = end;
    }
    parts.back().revision = difference.revision;
    return parts;
}

std::vector<io::store_row>
state_table::apply(const state_difference& difference, time_point now)
{
    // What an older one lacks may have been removed since, and forgotten.
    if (difference.revision < revision_)
        return {};
    std::vector<io::store_row> changed;
    std::set<std::string_view> listed;
    for (const auto& row : difference.rows) {
        listed.insert(row.key);
        if (put(row, now))
            changed.push_back(row);
    }
    if (difference.whole) {
        for (const auto& [key, row] : rows_) {
            const bool gone = !row.removed && !listed.contains(key) &&
                              row.revision <= difference.revision;
            if (gone)
                changed.push_back({key, "", difference.revision, true});
        }
        for (const auto& row : changed)
            if (row.removed)
                put(row, now);
        // It does not tell of rows that came and went before.
        forgotten_ = std::max(forgotten_, difference.revision);
    }
    revision_ = std::max(revision_, difference.revision);
    forget_removals(now);
    return changed;
}

bool state_table::put(const io::store_row& row, time_point now)
{
    const auto [stored, added] = rows_.try_emplace(row.key, row);
    if (!added) {
        if (stored->second.revision >= row.revision)
            return false;
        stored->second = row;
    }
    if (row.removed)
        removals_.push_back({row.key, row.revision, now});
    return true;
}

void state_table::forget_removals(time_point now)
{
    const auto old = std::ranges::find_if(removals_, [&](const auto& each) {
        return now - each.at < removal_memory;
    });
    for (auto each = removals_.begin(); each != old; ++each) {
        const auto row = rows_.find(each->key);
        const bool still_removed = row != rows_.end() && row->second.removed &&
                                   row->second.revision == each->revision;
        if (still_removed)
            rows_.erase(row);
        forgotten_ = std::max(forgotten_, each->revision);
    }
    removals_.erase(removals_.begin(), old);
}

state_difference state_table::since(std::uint64_t revision) const
{
    state_difference result;
    result.after = revision;
    result.revision = revision_;
    result.whole = revision == 0 || revision < forgotten_;
    for (const auto& [key, row] : rows_) {
        const bool wanted =
            result.whole ? !row.removed : row.revision > revision;
        if (wanted)
            result.rows.push_back(row);
    }
    return result;
}

} // namespace vanillapost::router
