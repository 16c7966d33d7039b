#ifndef VANILLAPOST_STANDINS_PLATFORM_TABLE_STORE_HPP
#define VANILLAPOST_STANDINS_PLATFORM_TABLE_STORE_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vanillapost/table.hpp>
#include <variant>

namespace vanillapost::standin {

/// One state that a row has had.
struct row_version
{
    table_row row;
    std::string client; ///< who wrote it
    std::int64_t unix_ms = 0;
};

/// The rows of the platform's table, with their history.
class table_store
{
public:
    using outcome = std::variant<transaction_done, transaction_conflict>;

    /// The row as it stands, deleted rows included, or null.
    const table_row* find(std::string_view key) const;

    /// Rows whose key starts with `prefix` and that changed after `since`.
    table_changes changes(std::string_view prefix, revision since) const;

    /// Applies all operations or none. A write id that took effect before
    /// is answered as then.
    outcome transact(const table_transaction& transaction,
                     std::string_view client, std::int64_t unix_ms);

    /// Goes back by that many revisions, as if restored from an older copy, and
    /// goes on in a new epoch (\ref make_revision).
    void restore(std::uint64_t revisions);

    revision latest() const
    {
        return latest_;
    }

    /// Every state of each row whose key starts with `prefix`.
    nlohmann::json history(std::string_view prefix) const;

private:
    std::vector<table_row>
    conflicts(const std::vector<table_operation>& operations) const;
    void store(const table_operation& operation,
               const table_transaction& transaction, std::string_view client,
               std::int64_t unix_ms);
    void remember(const std::string& write_id);

    std::map<std::string, std::deque<row_version>, std::less<>> rows_;
    std::map<std::pair<revision, std::string>, const table_row*> by_revision_;
    std::unordered_map<std::string, revision> done_;
    std::deque<std::string> done_order_;
    revision latest_ = 0;
};

nlohmann::json to_json(const table_row& row);

} // namespace vanillapost::standin

#endif
