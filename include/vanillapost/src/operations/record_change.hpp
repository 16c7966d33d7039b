#ifndef VANILLAPOST_SRC_OPERATIONS_RECORD_CHANGE_HPP
#define VANILLAPOST_SRC_OPERATIONS_RECORD_CHANGE_HPP

#include "../records/record.hpp"
#include "../table/table.hpp"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace vanillapost {

/// A record's row before a write and what it is to become.
struct record_change
{
    std::string key;
    revision expected = 0;             ///< that the write replaces; 0: none
    std::optional<std::string> before; ///< text in force
    std::optional<std::string> after;  ///< absent: withdraw
};

/// A record as an operator wrote it. The text is kept, so that a record of
/// schema version 1 stands in the table as such.
struct written_record
{
    std::string key;
    std::string text;
};

/// Parses one record and names its key.
/// \throws field_error  naming every field that is wrong
written_record check_record(const nlohmann::json& document,
                            std::string_view peer);

/// Rows of the table by key.
using row_index = std::map<std::string, table_row, std::less<>>;

row_index index_rows(std::span<const table_row> rows);

/// The changes that bring the table to the wanted records. Records that are
/// the same already, in whatever schema version, are left alone.
///
/// \param withdraw_others  whether records that are not wanted are withdrawn
std::vector<record_change> plan_changes(const row_index& current,
                                        std::span<const written_record> wanted,
                                        bool withdraw_others);

/// The change of one data centre's state. The data centre's other fields
/// stay; it gets a record if it has none.
///
/// \throws error  when the record in force cannot be read
record_change plan_data_centre_state(const row_index& current,
                                     const data_centre_id& name,
                                     service_state state);

/// All changes as one transaction: each row at its expected revision.
table_transaction make_transaction(std::string write_id,
                                   std::span<const record_change> changes);

} // namespace vanillapost

#endif
