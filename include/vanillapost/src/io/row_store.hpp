#ifndef VANILLAPOST_SRC_IO_ROW_STORE_HPP
#define VANILLAPOST_SRC_IO_ROW_STORE_HPP

#include "../base/store_revision.hpp"
#include "../base/time.hpp"
#include "../table/malformed_row.hpp"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace vanillapost::io {

/// A row of a table, or the news that it was removed.
struct store_row
{
    std::string key;
    std::string value;
    /// Of its last change; rises over all tables (\ref make_revision).
    std::uint64_t revision = 0;
    bool removed = false;
};

struct store_rows
{
    std::vector<store_row> rows;
    std::uint64_t revision = 0; ///< of the store when it answered
    bool more = false;          ///< further keys follow
};

/// What a row has to be like for a write to be done.
struct row_condition
{
    std::string table;
    std::string key;
    std::uint64_t revision = 0; ///< 0: the row must not exist
};

enum class store_failure_kind
{
    unreachable,  ///< no connection, or no answer: a write may have been done
    refused,      ///< nothing was done
    history_lost, ///< changes since that revision are not kept any more
    conflict,     ///< a row was not as expected
    bad_answer,
    outdated, ///< an answer of an earlier epoch of the store
};

struct store_failure
{
    store_failure_kind kind = store_failure_kind::unreachable;
    std::string what;
};

using store_result = std::variant<store_rows, store_failure>;

/// Tables of rows that outlast the instances, as the library needs them from
/// the platform.
///
/// Every call ends with one callback, never before it returns.
class row_store
{
public:
    using handler = std::function<void(store_result)>;
    using malformed_row_handler =
        std::function<void(std::string_view table, const malformed_row&)>;

    virtual ~row_store() = default;

    /// Rows in order of their keys, from the first that is not less.
    virtual void read(std::string_view table, std::string_view first_key,
                      handler done) = 0;

    /// Rows changed after a revision; waits until there is one. When the
    /// answer is of another epoch than `after`, it holds only some of them.
    virtual void follow(std::string_view table, std::uint64_t after,
                        duration longest_wait, handler done) = 0;

    virtual void put(std::string_view table, std::string_view key,
                     std::string_view value, handler done) = 0;

    /// One row; the answer has no row if there is none under that key.
    virtual void read_row(std::string_view table, std::string_view key,
                          handler done) = 0;

    /// Writes a row only if some rows, that one among them, are as expected;
    /// otherwise the result is a `conflict`. After `unreachable` and
    /// `bad_answer` it may have been written, or may still be, and only reading
    /// the row shows which.
    virtual void put_if(std::span<const row_condition> expected,
                        std::string_view table, std::string_view key,
                        std::string_view value, handler done) = 0;

    /// Calls `handler` for each row that cannot be read. If its key can, the
    /// row is in the answer, too, with an empty value; otherwise it is left
    /// out.
    void on_malformed_row(malformed_row_handler handler)
    {
        spoilt_ = std::move(handler);
    }

protected:
    void report_malformed_row(std::string_view table,
                              const malformed_row& row) const
    {
        if (spoilt_)
            spoilt_(table, row);
    }

private:
    malformed_row_handler spoilt_;
};

} // namespace vanillapost::io

#endif
