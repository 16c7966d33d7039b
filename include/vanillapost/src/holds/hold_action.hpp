#ifndef VANILLAPOST_SRC_HOLDS_HOLD_ACTION_HPP
#define VANILLAPOST_SRC_HOLDS_HOLD_ACTION_HPP

#include "../base/identifier.hpp"
#include "../table/table.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace vanillapost {

/// Names one request to the table; its answer carries the same number.
using table_request_id = std::uint64_t;

/// Read one row and hand the answer to `hold_controller::on_row`.
struct read_row_action
{
    table_request_id id = 0;
    std::string key;
};

/// Read changes and hand the answer to `hold_controller::on_changes`.
struct read_changes_action
{
    table_request_id id = 0;
    std::string prefix;
    revision since = 0;
};

/// Submit and hand the answer to `hold_controller::on_transact`.
struct transact_action
{
    table_request_id id = 0;
    table_transaction transaction;
};

/// Send `promise_ask` to a peer, if it is connected.
struct promise_ask_action
{
    entry_incarnation to;
    std::uint64_t id = 0;
};

/// Send `promise` to a peer, if it is connected.
struct promise_action
{
    entry_incarnation to;
    std::uint64_t id = 0;
    bool granted = false;
};

/// Send `holds_hint` to a peer, if it is connected.
struct hint_action
{
    entry_incarnation to;
};

/// What the I/O layer has to do for a \ref hold_controller.
using hold_action =
    std::variant<read_row_action, read_changes_action, transact_action,
                 promise_ask_action, promise_action, hint_action>;

} // namespace vanillapost

#endif
