#ifndef VANILLAPOST_SRC_OPERATIONS_SETTLED_WRITE_HPP
#define VANILLAPOST_SRC_OPERATIONS_SETTLED_WRITE_HPP

#include "../base/random.hpp"
#include "../base/time.hpp"
#include "../table/table.hpp"
#include "retry_delay.hpp"

#include <string>
#include <variant>
#include <vector>

namespace vanillapost {

/// The write took effect, once.
struct write_applied
{
    revision at = 0; ///< 0 when only known from reading a row back
};

/// Another writer came first; nothing was written.
struct write_lost
{
    std::vector<table_row> rows; ///< what stands in the table instead
};

/// The platform could not be reached; nothing was written.
struct write_not_made
{
    std::string what;
};

/// The platform went away with the answer: it may have taken effect, or may
/// still do so.
struct write_unknown
{
    std::string what;
};

using write_outcome =
    std::variant<write_applied, write_lost, write_not_made, write_unknown>;

/// Asks the driver to submit \ref settled_write::transaction.
struct submit_write
{
};

/// Asks the driver to read one row back.
struct read_back
{
    std::string key;
};

/// Asks the driver to call \ref settled_write::on_waited after `delay`.
struct wait_before_retry
{
    duration delay{};
};

using write_step =
    std::variant<submit_write, read_back, wait_before_retry, write_outcome>;

/// One compare-and-set transaction, tried until its outcome is known.
///
/// A lost answer is settled by submitting the transaction again under the same
/// write id, which the platform never lets take effect twice. When no answer
/// comes within the bounds, one of the written rows is read back: it shows the
/// write id if the write took effect last.
///
/// Each call returns what the driver does next; the object does no I/O.
///
/// \note The outcome is \ref write_unknown only if some submission may have
/// run; it is never reported as a failure without effect in that case.
/// \warning The transaction must write at least one row.
class settled_write
{
public:
    settled_write(table_transaction transaction, retry_limits limits,
                  random_engine random);

    write_step start();
    write_step on_answer(const transaction_result& answer);
    write_step on_row(const platform_result<table_row>& row);
    write_step on_waited();

    const table_transaction& transaction() const
    {
        return transaction_;
    }

    /// Whether an answer has been lost so far.
    bool may_have_run() const
    {
        return may_have_run_;
    }

private:
    write_step on_conflict(const transaction_conflict& conflict);
    write_step on_unavailable(const platform_unavailable& failure);
    write_step wait();
    write_step next_attempt();
    std::string written_key() const;

    table_transaction transaction_;
    retry_limits limits_;
    random_engine random_;
    int submissions_ = 0;
    int reads_ = 0;
    int waits_ = 0;
    bool may_have_run_ = false;
    std::string last_failure_;
};

} // namespace vanillapost

#endif
