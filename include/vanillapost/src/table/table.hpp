#ifndef VANILLAPOST_SRC_TABLE_TABLE_HPP
#define VANILLAPOST_SRC_TABLE_TABLE_HPP

#include "../records/record.hpp"
#include "spoilt_row.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace vanillapost {

/// A row of the platform's table.
struct table_row
{
    std::string key;
    revision at = 0;                  ///< 0: there is no row
    std::string write_id;             ///< of the write that made it
    std::optional<std::string> value; ///< absent when deleted
};

/// One step of a transaction: the row must be at `expected`.
struct table_operation
{
    enum class action
    {
        check,
        put,
        erase
    };

    std::string key;
    revision expected = 0; ///< 0: there must be no row
    action what = action::check;
    std::string value; ///< for `put`
};

/// All operations take effect, or none does.
struct table_transaction
{
    /// Chosen by the writer; the same one again never takes effect twice.
    std::string write_id;
    std::vector<table_operation> operations;
};

struct table_changes
{
    revision latest = 0; ///< ask for changes since this next time
    std::vector<table_row> rows;
    /// Rows that cannot be read. Those with a key are among `rows`, too, with
    /// an empty value.
    std::vector<spoilt_row> spoilt = {};
};

struct transaction_done
{
    revision at = 0;
};

struct transaction_conflict
{
    std::vector<table_row> rows; ///< the rows that were not as expected
};

/// No answer, or a failure on the platform's side.
struct platform_unavailable
{
    bool may_have_run = false;
    std::string what;
};

template <class T>
using platform_result = std::variant<T, platform_unavailable>;

using transaction_result =
    std::variant<transaction_done, transaction_conflict, platform_unavailable>;

} // namespace vanillapost

#endif
