#include "table_store.hpp"

#include <algorithm>

namespace vanillapost::standin {

namespace {

constexpr std::size_t max_history = 10'000;
constexpr std::size_t max_write_ids = 200'000;

bool has_expected_revision(const table_row* row, revision expected)
{
    if (!row)
        return expected == 0;
    if (!row->value && expected == 0)
        return true;
    return row->at == expected;
}

} // namespace

nlohmann::json to_json(const table_row& row)
{
    nlohmann::json result = {{"key", row.key},
                             {"revision", row.at},
                             {"write_id", row.write_id},
                             {"value", nullptr}};
    if (row.value)
        result["value"] = *row.value;
    return result;
}

const table_row* table_store::find(std::string_view key) const
{
    const auto found = rows_.find(key);
    return found == rows_.end() ? nullptr : &found->second.back().row;
}

table_changes table_store::changes(std::string_view prefix,
                                   revision since) const
{
    table_changes result;
    result.latest = latest_;
    for (auto next = by_revision_.lower_bound({since + 1, ""});
         next != by_revision_.end(); ++next) {
        if (next->second->key.starts_with(prefix))
            result.rows.push_back(*next->second);
    }
    return result;
}

std::vector<table_row>
table_store::conflicts(const std::vector<table_operation>& operations) const
{
    std::vector<table_row> result;
    for (const auto& operation : operations) {
        const auto* row = find(operation.key);
        if (has_expected_revision(row, operation.expected))
            continue;
        result.push_back(row ? *row : table_row{operation.key, 0, "", {}});
    }
    return result;
}

table_store::outcome table_store::transact(const table_transaction& transaction,
                                           std::string_view client,
                                           std::int64_t unix_ms)
{
    const auto done = done_.find(transaction.write_id);
    if (done != done_.end())
        return transaction_done{done->second};
    auto rows = conflicts(transaction.operations);
    if (!rows.empty())
        return transaction_conflict{std::move(rows)};
    ++latest_;
    for (const auto& operation : transaction.operations) {
        if (operation.what != table_operation::action::check)
            store(operation, transaction, client, unix_ms);
    }
    remember(transaction.write_id);
    return transaction_done{latest_};
}

void table_store::store(const table_operation& operation,
                        const table_transaction& transaction,
                        std::string_view client, std::int64_t unix_ms)
{
    auto& versions = rows_[operation.key];
    if (!versions.empty())
        by_revision_.erase({versions.back().row.at, operation.key});
    table_row row{operation.key, latest_, transaction.write_id, {}};
    if (operation.what == table_operation::action::put)
        row.value = operation.value;
    versions.push_back({std::move(row), std::string(client), unix_ms});
    if (versions.size() > max_history)
        versions.pop_front();
    by_revision_[{latest_, operation.key}] = &versions.back().row;
}

void table_store::restore(std::uint64_t revisions)
{
    const auto number = number_of(latest_);
    const auto kept =
        make_revision(epoch_of(latest_), number - std::min(number, revisions));
    by_revision_.clear();
    for (auto each = rows_.begin(); each != rows_.end();) {
        auto& [key, versions] = *each;
        while (!versions.empty() && versions.back().row.at > kept)
            versions.pop_back();
        if (versions.empty()) {
            each = rows_.erase(each);
            continue;
        }
        const auto& row = versions.back().row;
        by_revision_[{row.at, key}] = &row;
        ++each;
    }
    std::erase_if(done_, [&](const auto& done) { return done.second > kept; });
    latest_ = make_revision(epoch_of(latest_) + 1, number_of(kept));
}

void table_store::remember(const std::string& write_id)
{
    done_.emplace(write_id, latest_);
    done_order_.push_back(write_id);
    if (done_order_.size() <= max_write_ids)
        return;
    done_.erase(done_order_.front());
    done_order_.pop_front();
}

nlohmann::json table_store::history(std::string_view prefix) const
{
    auto result = nlohmann::json::object();
    for (const auto& [key, versions] : rows_) {
        if (!key.starts_with(prefix))
            continue;
        auto& list = result[key] = nlohmann::json::array();
        for (const auto& version : versions) {
            auto entry = to_json(version.row);
            entry["client"] = version.client;
            entry["unix_ms"] = version.unix_ms;
            list.push_back(std::move(entry));
        }
    }
    return result;
}

} // namespace vanillapost::standin
