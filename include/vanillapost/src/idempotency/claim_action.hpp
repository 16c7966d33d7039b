#ifndef VANILLAPOST_SRC_IDEMPOTENCY_CLAIM_ACTION_HPP
#define VANILLAPOST_SRC_IDEMPOTENCY_CLAIM_ACTION_HPP

#include "../attempts/run_state.hpp"
#include "../base/time.hpp"
#include "../table/table.hpp"
#include "claim_row.hpp"

#include <string>
#include <variant>
#include <vector>

namespace vanillapost {

/// Submit this transaction and pass its result to `on_transaction`.
struct submit_claim
{
    table_transaction transaction;
};

/// Call `on_timer` at this time.
struct set_claim_timer
{
    time_point at{};
};

/// The claim was acquired: dispatch the request now. Returned at most once.
struct dispatch_claimed
{
};

/// Answer the caller with the stored outcome of the earlier request.
struct answer_stored
{
    stored_outcome outcome;
};

/// Refuse the request.
struct refuse_request
{
    int status = 0; ///< 409, 503 or 504
    run_state ran = run_state::no;
    duration retry_after{}; ///< 0: a retry is of no use
    std::string detail{};
};

using claim_action =
    std::variant<submit_claim, set_claim_timer, dispatch_claimed, answer_stored,
                 refuse_request>;

using claim_actions = std::vector<claim_action>;

} // namespace vanillapost

#endif
