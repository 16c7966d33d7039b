#ifndef VANILLAPOST_TEST_FAKE_TABLE_HPP
#define VANILLAPOST_TEST_FAKE_TABLE_HPP

#include "vanillapost/table.hpp"

#include <map>
#include <string>

namespace vanillapost::test {

/// The table, with compare-and-set and write ids.
class fake_table
{
public:
    table_row read(const std::string& key) const
    {
        const auto found = rows_.find(key);
        return found == rows_.end() ? table_row{key, 0, "", {}} : found->second;
    }

    table_changes changes(const std::string& prefix, revision since) const
    {
        table_changes result{.latest = latest_, .rows = {}};
        for (const auto& [key, row] : rows_) {
            if (key.starts_with(prefix) && row.at > since) {
                result.rows.push_back(row);
            }
        }
        return result;
    }

    transaction_result transact(const table_transaction& transaction)
    {
        if (const auto done = done_.find(transaction.write_id);
            done != done_.end()) {
            return transaction_done{done->second};
        }
        transaction_conflict conflict;
        for (const auto& step : transaction.operations) {
            const table_row row = read(step.key);
            if ((row.value ? row.at : 0) != step.expected) {
                conflict.rows.push_back(row);
            }
        }
        if (!conflict.rows.empty()) {
            return conflict;
        }
        ++latest_;
        for (const auto& step : transaction.operations) {
            write(step, transaction.write_id);
        }
        done_[transaction.write_id] = latest_;
        return transaction_done{latest_};
    }

private:
    void write(const table_operation& step, const std::string& write_id)
    {
        if (step.what == table_operation::action::check) {
            return;
        }
        table_row& row = rows_[step.key];
        row = {step.key, latest_, write_id, {}};
        if (step.what == table_operation::action::put) {
            row.value = step.value;
        }
    }

    std::map<std::string, table_row> rows_;
    std::map<std::string, revision> done_;
    revision latest_ = 0;
};

} // namespace vanillapost::test

#endif
