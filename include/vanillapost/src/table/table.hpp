#ifndef VANILLAPOST_SRC_TABLE_TABLE_HPP
#define VANILLAPOST_SRC_TABLE_TABLE_HPP

#include "../base/store_revision.hpp"
#include "../records/record.hpp"
#include "malformed_row.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace vanillapost {

/// A row of the platform's table service.
struct table_row
{
    std::string key;
    revision at = 0;                  ///< 0: the row does not exist
    std::string write_id;             ///< of the write that set it
    std::optional<std::string> value; ///< absent when deleted
};

/// One operation of a transaction, which requires the row to be at revision
/// `expected`.
struct table_operation
{
    enum class action
    {
        check,
        put,
        erase
    };

    std::string key;
    revision expected = 0; ///< 0: the row must not exist
    action what = action::check;
    std::string value; ///< for `put`
};

/// Operations that take effect all together or not at all.
struct table_transaction
{
    /// Chosen by the writer. A repeated transaction with the same ID takes
    /// effect only once.
    std::string write_id;
    std::vector<table_operation> operations;
};

/// Rows that changed since the revision that was asked for.
struct table_changes
{
    revision latest = 0; ///< the revision to ask from next time
    std::vector<table_row> rows;
    /// Rows that cannot be parsed. Those with a key are also in `rows`, with an
    /// empty value.
    std::vector<malformed_row> malformed_rows = {};
};

struct transaction_done
{
    revision at = 0;
};

struct transaction_conflict
{
    std::vector<table_row> rows; ///< rows that were not at `expected`
};

/// The platform did not answer, or answered with a failure of its own.
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
