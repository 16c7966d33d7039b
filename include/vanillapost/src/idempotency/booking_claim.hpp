#ifndef VANILLAPOST_SRC_IDEMPOTENCY_BOOKING_CLAIM_HPP
#define VANILLAPOST_SRC_IDEMPOTENCY_BOOKING_CLAIM_HPP

#include "claim_action.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace vanillapost {

/// A request that is to be claimed.
struct claim_request
{
    service_id service;
    std::string key;    ///< `Idempotency-Key`
    std::string digest; ///< from \ref digest_request
    entry_incarnation self;
    std::string write_id; ///< unique for this request; prefix of its writes
    time_point deadline{};
    /// The caller has sent the key before, so that an earlier copy may have
    /// run even when this one does not.
    bool repeat = false;
};

struct claim_settings
{
    duration resubmit_delay = std::chrono::milliseconds(50);
    duration longest_resubmit_delay = std::chrono::seconds(2);
    /// Longest that a caller waits for its claim to be settled.
    duration patience = std::chrono::milliseconds(500);
    duration retry_after = std::chrono::milliseconds(500);
    /// How long an outcome is kept.
    std::chrono::milliseconds retention = std::chrono::hours(24);
};

/// Whether a process has ended, as the platform's list tells.
using ended_predicate = std::function<bool(const entry_incarnation&)>;

/// Takes one booking with an `Idempotency-Key` through its claim, so that it
/// runs at most once over all entries.
///
/// The key is claimed in the table before dispatch. A claim whose answer was
/// lost is submitted again with the same write id until the table says what
/// became of it. The caller gets its final answer by its deadline; the object
/// then lives on until `finished`, to release the claim or to keep the
/// outcome.
///
/// \note Bookings without a key have no claim: dispatch them once and never
/// again after a send.
class booking_claim
{
public:
    /// \param ended  consulted when the key is claimed by another process
    booking_claim(claim_request request, const claim_settings& settings,
                  ended_predicate ended);

    /// \param unix_ms  wall clock, for the time that outcomes are kept
    claim_actions start(time_point now, std::int64_t unix_ms);

    claim_actions on_transaction(const transaction_result& result,
                                 time_point now);

    claim_actions on_timer(time_point now);

    /// The dispatch ended with an answer of the target.
    claim_actions on_outcome(const stored_outcome& outcome, time_point now);

    /// The dispatch, retries included, ended without an answer. The caller of
    /// this function answers the request itself.
    ///
    /// \param ran  `no` releases the claim
    claim_actions on_failure(run_state ran, time_point now);

    /// The caller went away before `dispatch_claimed`.
    claim_actions on_cancelled(time_point now);

    /// Nothing more follows; the object may go.
    bool finished() const
    {
        return stage_ == stage::finished;
    }

    /// Key of the row in the table.
    const std::string& table_key() const
    {
        return table_key_;
    }

private:
    enum class stage
    {
        idle,
        claiming,   ///< a claim is under way
        dispatched, ///< `dispatch_claimed` was returned
        settling,   ///< the claim's last state is being written
        finished,
    };

    claim_actions submit(claim_state state, revision expected);
    claim_actions resubmit_later(time_point now);
    claim_actions on_claimed(revision at, time_point now);
    claim_actions on_claim_conflict(const transaction_conflict& conflict,
                                    time_point now);
    claim_actions on_other_claim(const claim_row& other);
    claim_actions on_unavailable(const platform_unavailable& failure,
                                 time_point now);
    claim_actions settle(claim_state state);
    claim_actions finish();
    claim_actions refuse(refuse_claim refusal);
    claim_actions refuse_for_outage();
    bool mine(const table_row& row) const;
    bool out_of_time(time_point now) const;
    std::string row_text(claim_state state) const;

    claim_request request_;
    claim_settings settings_;
    ended_predicate ended_;
    std::string table_key_;
    stage stage_ = stage::idle;
    bool answered_ = false; ///< the caller needs no answer from here
    std::optional<time_point> resubmit_at_;
    time_point answer_by_{}; ///< of the caller, while claiming
    table_transaction pending_;
    revision claimed_at_ = 0;
    stored_outcome outcome_;
    std::int64_t unix_ms_ = 0; ///< at the start
    int writes_ = 0;
    int resubmits_ = 0;
};

} // namespace vanillapost

#endif
