#include "vanillapost/src/operations/settled_write.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace vanillapost {

namespace {

bool writes(const table_operation& operation)
{
    return operation.what != table_operation::action::check;
}

} // namespace

settled_write::settled_write(table_transaction transaction, retry_limits limits,
                             random_engine random)
    : transaction_(std::move(transaction)), limits_(limits), random_(random)
{
    assert(!transaction_.write_id.empty());
    assert(std::any_of(transaction_.operations.begin(),
                       transaction_.operations.end(), writes));
    assert(limits_.attempts > 0);
}

write_step settled_write::start()
{
    ++submissions_;
    return submit_write{};
}

write_step settled_write::on_answer(const transaction_result& answer)
{
    if (const auto* done = std::get_if<transaction_done>(&answer))
        return write_outcome(write_applied{done->at});
    if (const auto* conflict = std::get_if<transaction_conflict>(&answer))
        return on_conflict(*conflict);
    return on_unavailable(std::get<platform_unavailable>(answer));
}

write_step settled_write::on_conflict(const transaction_conflict& conflict)
{
    // A platform that has forgotten the write id answers a resubmission with
    // the row that this very write left behind.
    for (const auto& row : conflict.rows) {
        if (row.write_id == transaction_.write_id)
            return write_outcome(write_applied{row.at});
    }
    return write_outcome(write_lost{conflict.rows});
}

write_step settled_write::on_unavailable(const platform_unavailable& failure)
{
    may_have_run_ = may_have_run_ || failure.may_have_run;
    last_failure_ = failure.what;
    if (submissions_ < limits_.attempts)
        return wait();
    if (!may_have_run_)
        return write_outcome(write_not_made{last_failure_});
    return next_attempt();
}

write_step settled_write::on_row(const platform_result<table_row>& row)
{
    if (const auto* found = std::get_if<table_row>(&row)) {
        if (found->write_id == transaction_.write_id)
            return write_outcome(write_applied{found->at});
        // Another write id proves nothing: this write may have taken effect
        // before that one, or may yet arrive.
        return write_outcome(write_unknown{last_failure_});
    }
    last_failure_ = std::get<platform_unavailable>(row).what;
    if (reads_ < limits_.attempts)
        return wait();
    return write_outcome(write_unknown{last_failure_});
}

write_step settled_write::on_waited()
{
    return next_attempt();
}

write_step settled_write::next_attempt()
{
    if (submissions_ < limits_.attempts)
        return start();
    ++reads_;
    return read_back{written_key()};
}

write_step settled_write::wait()
{
    return wait_before_retry{retry_delay(limits_, waits_++, random_)};
}

std::string settled_write::written_key() const
{
    return std::find_if(transaction_.operations.begin(),
                        transaction_.operations.end(), writes)
        ->key;
}

} // namespace vanillapost
