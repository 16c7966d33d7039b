#ifndef VANILLAPOST_SRC_HOLDS_CONFIRMATION_HPP
#define VANILLAPOST_SRC_HOLDS_CONFIRMATION_HPP

#include "../base/identifier.hpp"
#include "../table/table.hpp"
#include "heartbeat_row.hpp"
#include "hold_settings.hpp"

#include <optional>
#include <string>
#include <variant>

namespace vanillapost {

/// The entry's own heartbeat row, and until when it confirms the entry's
/// holds.
///
/// A round is: write the heartbeat, then read the changes of the holds. Only
/// when both were answered is the entry confirmed, counted from before the
/// heartbeat was first sent.
class confirmation
{
public:
    confirmation(entry_incarnation self, const hold_settings& settings);

    /// What the entry should ask the table for, if anything is due.
    struct read_due
    {
        std::string key;
    };
    struct write_due
    {
        table_transaction transaction;
    };
    using due = std::variant<std::monostate, read_due, write_due>;

    /// Starts the request that is due; its answer has to be handed in.
    due start(time_point now);

    /// The heartbeat row as read.
    void on_row(const platform_result<table_row>& result, time_point now);

    /// The answer to a heartbeat write; returns whether the changes of the
    /// holds have to be read next.
    bool on_write(const transaction_result& result, time_point now);

    /// When the written heartbeat was first sent, while it waits for the
    /// changes to be read.
    std::optional<time_point> written_from() const
    {
        return written_from_;
    }

    /// The changes were read by a request sent after the answer to the
    /// heartbeat that was first sent at `from`.
    void confirm(time_point from);

    /// End of the confirmation; in the past when there is none.
    time_point confirmed_until() const
    {
        return confirmed_until_;
    }

    /// Whether another process under this name has taken the heartbeat row.
    /// The entry must then end: it may start no request and write no row.
    bool superseded() const
    {
        return superseded_;
    }

private:
    table_transaction next_write();

    entry_incarnation self_;
    hold_settings settings_;
    bool request_open_ = false;
    bool row_known_ = false;
    bool ever_written_ = false;
    bool superseded_ = false;
    revision at_ = 0;
    std::uint64_t count_ = 0;
    std::uint64_t writes_ = 0;
    std::optional<table_transaction> unanswered_;
    time_point first_sent_{};
    time_point next_at_{};
    std::optional<time_point> written_from_;
    time_point confirmed_until_{};
};

} // namespace vanillapost

#endif
