#ifndef VANILLAPOST_SRC_HOLDS_HOLD_WRITE_HPP
#define VANILLAPOST_SRC_HOLDS_HOLD_WRITE_HPP

#include "../base/time.hpp"
#include "../table/table.hpp"
#include "hold_action.hpp"
#include "hold_row.hpp"

#include <optional>
#include <string>

namespace vanillapost {

/// Why a hold row is written.
enum class hold_write_kind
{
    claim,             ///< a target without a row
    takeover,          ///< from a holder that is silent or ended
    handover,          ///< from the holder to another entry
    clear_own,         ///< the previous holder has drained
    clear_ended,       ///< the previous holder ended long ago
    replace_successor, ///< by the holder
    erase,             ///< the target's record was withdrawn
};

/// A change of a hold row that ought to be written.
struct hold_write
{
    hold_write_kind kind = hold_write_kind::claim;
    target_id target;
    revision expected = 0;      ///< of the row
    std::optional<hold_row> to; ///< absent for `erase`

    /// The holder whose heartbeat row must not have changed, for `takeover`.
    std::optional<entry_incarnation> from = std::nullopt;
    std::optional<revision> heartbeat_expected = std::nullopt;
};

/// A write that was submitted and has no final answer yet.
struct pending_hold_write
{
    hold_write write;
    table_transaction transaction;
    table_request_id request = 0; ///< 0: none is waiting for an answer
    time_point resubmit_at{};     ///< when no request is waiting
    revision seen_at = 0;         ///< of the row when the write was made
};

} // namespace vanillapost

#endif
