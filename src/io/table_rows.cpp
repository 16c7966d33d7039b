#include "vanillapost/src/io/table_rows.hpp"

#include <algorithm>

namespace vanillapost::io {

namespace {

/// How soon a change is seen, at a cost of as many reads.
constexpr duration poll_interval = std::chrono::milliseconds(400);

std::string prefix_of(std::string_view table)
{
    return std::string(table) + '/';
}

store_failure to_failure(const platform_unavailable& failure)
{
    const auto kind = failure.may_have_run ? store_failure_kind::unreachable
                                           : store_failure_kind::refused;
    return {kind, failure.what};
}

store_rows to_rows(const table_changes& changes, const std::string& prefix)
{
    store_rows result;
    result.revision = changes.latest;
    const auto epoch = epoch_of(changes.latest);
    for (const auto& row : changes.rows)
        if (row.key.starts_with(prefix))
            result.rows.push_back({row.key.substr(prefix.size()),
                                   row.value.value_or(""),
                                   make_revision(epoch, number_of(row.at)),
                                   !row.value.has_value()});
    return result;
}

store_result to_result(const platform_result<table_changes>& answer,
                       const std::string& prefix)
{
    if (const auto* failure = std::get_if<platform_unavailable>(&answer))
        return to_failure(*failure);
    return to_rows(std::get<table_changes>(answer), prefix);
}

/// A row that was read alone; the service says no revision beside it.
store_result to_single_row(const platform_result<table_row>& answer,
                           const std::string& key)
{
    if (const auto* failure = std::get_if<platform_unavailable>(&answer))
        return to_failure(*failure);
    const auto& row = std::get<table_row>(answer);
    store_rows result;
    result.revision = row.at;
    if (row.value)
        result.rows.push_back({key, *row.value, row.at, false});
    return result;
}

/// What cannot be read among the changes, with keys as in the table.
std::vector<malformed_row>
malformed_rows_in(const platform_result<table_changes>& from,
                  const std::string& prefix)
{
    const auto* changes = std::get_if<table_changes>(&from);
    if (!changes)
        return {};
    auto result = changes->malformed_rows;
    for (auto& each : result)
        if (each.key.starts_with(prefix))
            each.key.erase(0, prefix.size());
    for (const auto& row : changes->rows)
        if (!row.key.starts_with(prefix))
            result.push_back({"", "a row of another table: " + row.key});
    return result;
}

struct write_result
{
    store_result operator()(const transaction_done& done) const
    {
        return store_rows{{}, done.at, false};
    }

    store_result operator()(const transaction_conflict&) const
    {
        return store_failure{store_failure_kind::conflict,
                             "the row has changed"};
    }

    store_result operator()(const platform_unavailable& failure) const
    {
        return to_failure(failure);
    }
};

} // namespace

/// An answer that is held back for a while.
struct table_rows::delayed : disposable
{
    std::unique_ptr<timer> wait;
    store_result result;
    handler done;
};

table_rows::table_rows(event_loop& loop, platform_client& client,
                       std::string writer)
    : loop_(loop), client_(client), writer_(std::move(writer)),
      alive_(std::make_shared<bool>(true))
{
}

table_rows::~table_rows()
{
    *alive_ = false;
}

void table_rows::read(std::string_view table, std::string_view first_key,
                      handler done)
{
    const auto prefix = prefix_of(table);
    client_.changes(prefix, 0,
                    [this, alive = alive_, prefix,
                     first = std::string(first_key), done](const auto& answer) {
                        if (!*alive)
                            return;
                        report(answer, prefix);
                        auto result = to_result(answer, prefix);
                        if (auto* rows = std::get_if<store_rows>(&result))
                            std::erase_if(
                                rows->rows, [&](const store_row& row) {
                                    return row.removed || row.key < first;
                                });
                        done(std::move(result));
                    });
}

void table_rows::follow(std::string_view table, std::uint64_t after,
                        duration longest_wait, handler done)
{
    const auto prefix = prefix_of(table);
    const auto wait = std::min(longest_wait, poll_interval);
    client_.changes(
        prefix, after,
        [this, alive = alive_, prefix, wait, done](const auto& answer) {
            if (!*alive)
                return;
            report(answer, prefix);
            auto result = to_result(answer, prefix);
            const auto* rows = std::get_if<store_rows>(&result);
            if (rows && rows->rows.empty())
                answer_later(wait, std::move(result), done);
            else
                done(std::move(result));
        });
}

void table_rows::report(const platform_result<table_changes>& answer,
                        const std::string& prefix) const
{
    for (const auto& each : malformed_rows_in(answer, prefix))
        report_malformed_row(
            std::string_view(prefix).substr(0, prefix.size() - 1), each);
}

void table_rows::answer_later(duration wait, store_result result, handler done)
{
    const auto id = next_delayed_++;
    auto made = std::make_unique<delayed>();
    made->result = std::move(result);
    made->done = std::move(done);
    made->wait = std::make_unique<timer>(loop_, [this, id] {
        auto ended = std::move(delayed_.extract(id).mapped());
        auto answer = std::move(ended->done);
        auto held = std::move(ended->result);
        // Its timer is on the stack.
        loop_.dispose(std::move(ended));
        answer(std::move(held));
    });
    made->wait->start_once(wait);
    delayed_.emplace(id, std::move(made));
}

void table_rows::put(std::string_view table, std::string_view key,
                     std::string_view value, handler done)
{
    auto full_key = prefix_of(table) + std::string(key);
    client_.read(full_key, [this, alive = alive_, full_key,
                            text = std::string(value),
                            done](const auto& answer) {
        if (!*alive)
            return;
        const auto* row = std::get_if<table_row>(&answer);
        if (!row) {
            done(to_failure(std::get<platform_unavailable>(answer)));
            return;
        }
        write(full_key, row->value ? row->at : 0, text, done);
    });
}

void table_rows::read_row(std::string_view table, std::string_view key,
                          handler done)
{
    client_.read(
        prefix_of(table) + std::string(key),
        [alive = alive_, name = std::string(key), done](const auto& answer) {
            if (*alive)
                done(to_single_row(answer, name));
        });
}

// The written row is an operation of its own, which needs its revision.
void table_rows::put_if(std::span<const row_condition> expected,
                        std::string_view table, std::string_view key,
                        std::string_view value, handler done)
{
    using action = table_operation::action;
    const auto written = prefix_of(table) + std::string(key);
    table_transaction transaction;
    transaction.write_id = writer_ + "-" + std::to_string(writes_++);
    for (const auto& each : expected) {
        const auto name = prefix_of(each.table) + each.key;
        const bool is_written = name == written;
        transaction.operations.push_back(
            {name, each.revision, is_written ? action::put : action::check,
             is_written ? std::string(value) : std::string()});
    }
    client_.transact(transaction, [done](const transaction_result& result) {
        done(std::visit(write_result{}, result));
    });
}

void table_rows::write(std::string key, std::uint64_t expected,
                       std::string value, handler done)
{
    table_transaction transaction;
    transaction.write_id = writer_ + "-" + std::to_string(writes_++);
    transaction.operations.push_back({std::move(key), expected,
                                      table_operation::action::put,
                                      std::move(value)});
    client_.transact(transaction, [done](const transaction_result& result) {
        done(std::visit(write_result{}, result));
    });
}

} // namespace vanillapost::io
