#ifndef VANILLAPOST_SRC_IDEMPOTENCY_IDEMPOTENCY_CLAIM_HPP
#define VANILLAPOST_SRC_IDEMPOTENCY_IDEMPOTENCY_CLAIM_HPP

#include "claim_action.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace vanillapost {

/// A request whose idempotency key is to be claimed.
struct claim_request
{
    service_id service;
    std::string key;    ///< `Idempotency-Key`
    std::string digest; ///< from \ref digest_request
    entry_incarnation self;
    std::string write_id; ///< unique per request; prefix of its write ids
    time_point deadline{};
    /// The caller has sent this key before, so that an earlier copy of the
    /// request may have run even if this one does not.
    bool repeat = false;
};

struct claim_settings
{
    /// Delay before the first resubmission of a write; each further one doubles
    /// it up to `max_resubmit_delay`.
    duration resubmit_delay = std::chrono::milliseconds(50);
    duration max_resubmit_delay = std::chrono::seconds(2);
    /// Longest that a caller waits until its claim is decided.
    duration claim_timeout = std::chrono::milliseconds(500);
    /// Time after which a refused caller is asked to retry.
    duration retry_after = std::chrono::milliseconds(500);
    /// How long the outcome of a request is kept.
    std::chrono::milliseconds retention = std::chrono::hours(24);
};

/// Whether a process has ended, according to the platform's list.
using ended_predicate = std::function<bool(const entry_incarnation&)>;

/// Claim on the `Idempotency-Key` of one booking, a request that must not run
/// twice. Ensures that it runs at most once across all instances.
///
/// The key is claimed in the table before dispatch. If the answer to the claim
/// is lost, the claim is submitted again with the same write id until its
/// result is known. The caller gets its final answer by its deadline. The
/// object has to be kept until `finished`, to release the claim or to store the
/// outcome.
///
/// \note Bookings without a key have no claim. They must be dispatched once,
/// and not again after they may have been sent.
class idempotency_claim
{
public:
    /// \param ended  called when another process has claimed the key
    idempotency_claim(claim_request request, const claim_settings& settings,
                      ended_predicate ended);

    /// Submits the claim.
    /// \param unix_ms  time of the wall clock, for the expiry of the outcome
    claim_actions start(time_point now, std::int64_t unix_ms);

    claim_actions on_transaction(const transaction_result& result,
                                 time_point now);

    claim_actions on_timer(time_point now);

    /// The dispatch ended with an answer from the target.
    claim_actions on_outcome(const stored_outcome& outcome, time_point now);

    /// The dispatch, including retries, ended without an answer. The caller of
    /// this function answers the request itself.
    ///
    /// \param ran  `no` releases the claim
    claim_actions on_failure(run_state ran, time_point now);

    /// Brings the caller's answer forward to `latest`, if the claim is decided
    /// later than that: the process ends soon after it.
    claim_actions limit_answer(time_point latest);

    /// The caller disconnected before `dispatch_claimed`.
    claim_actions on_cancelled(time_point now);

    /// Whether no further actions follow and the object may be destroyed.
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
        claiming,   ///< a claim has been submitted
        dispatched, ///< `dispatch_claimed` was returned
        finalizing, ///< the final state of the claim is being written
        finished,
    };

    claim_actions submit(claim_state state, revision expected);
    claim_actions resubmit_later(time_point now);
    claim_actions arm_timer() const;
    claim_actions on_claimed(revision at, time_point now);
    claim_actions on_claim_conflict(const transaction_conflict& conflict,
                                    time_point now);
    claim_actions on_other_claim(const claim_row& other);
    claim_actions on_unavailable(const platform_unavailable& failure,
                                 time_point now);
    claim_actions write_final_state(claim_state state);
    claim_actions finish();
    claim_actions refuse(refuse_request refusal);
    claim_actions refuse_unavailable();
    bool is_own_write(const table_row& row) const;
    bool is_past_answer_deadline(time_point now) const;
    std::string row_text(claim_state state) const;

    claim_request request_;
    claim_settings settings_;
    ended_predicate ended_;
    std::string table_key_;
    stage stage_ = stage::idle;
    bool answered_ = false; ///< this object owes the caller no answer
    std::optional<time_point> resubmit_time_;
    time_point answer_deadline_{}; ///< for the caller, while claiming
    table_transaction pending_;
    revision claimed_at_ = 0;
    stored_outcome outcome_;
    std::int64_t unix_ms_ = 0; ///< wall clock at the start
    int write_count_ = 0;
    int resubmit_count_ = 0;
};

} // namespace vanillapost

#endif
