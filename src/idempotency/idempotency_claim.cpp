#include "vanillapost/src/idempotency/idempotency_claim.hpp"
#include "vanillapost/src/base/error.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace vanillapost {

namespace {

constexpr int conflict_status = 409;
constexpr int unavailable_status = 503;
constexpr int timeout_status = 504;
constexpr int max_doublings = 16;

/// Finds the row of the claim among the rows that conflicted. Returns a row
/// without a value when it is not among them.
table_row find_claim_row(const transaction_conflict& conflict,
                         std::string_view key)
{
    for (const table_row& row : conflict.rows) {
        if (row.key == key)
            return row;
    }
    table_row none;
    none.key = key;
    return none;
}

claim_actions make_actions(claim_action action)
{
    claim_actions actions;
    actions.push_back(std::move(action));
    return actions;
}

void append(claim_actions& actions, claim_actions appended)
{
    std::ranges::move(appended, std::back_inserter(actions));
}

} // namespace

idempotency_claim::idempotency_claim(claim_request request,
                                     const claim_settings& settings,
                                     ended_predicate ended)
    : request_(std::move(request)), settings_(settings),
      ended_(std::move(ended)),
      table_key_(claim_key(request_.service, request_.key))
{
    assert(is_idempotency_key(request_.key));
    assert(!request_.write_id.empty());
}

claim_actions idempotency_claim::start(time_point now, std::int64_t unix_ms)
{
    assert(stage_ == stage::idle);
    unix_ms_ = unix_ms;
    answer_deadline_ =
        std::min(request_.deadline, now + settings_.claim_timeout);
    stage_ = stage::claiming;
    claim_actions actions = submit(claim_state::claimed, 0);
    append(actions, arm_timer());
    return actions;
}

claim_actions
idempotency_claim::on_transaction(const transaction_result& result,
                                  time_point now)
{
    if (stage_ != stage::claiming && stage_ != stage::finalizing)
        return {};
    if (const auto* failure = std::get_if<platform_unavailable>(&result))
        return on_unavailable(*failure, now);
    resubmit_count_ = 0;
    if (const auto* done = std::get_if<transaction_done>(&result))
        return stage_ == stage::claiming ? on_claimed(done->at, now) : finish();
    if (stage_ == stage::finalizing)
        return finish();
    return on_claim_conflict(std::get<transaction_conflict>(result), now);
}

claim_actions idempotency_claim::on_timer(time_point now)
{
    claim_actions actions;
    if (stage_ == stage::claiming && !answered_ && now >= answer_deadline_)
        actions = refuse_unavailable();
    if (resubmit_time_ && now >= *resubmit_time_) {
        resubmit_time_.reset();
        actions.push_back(submit_claim{pending_});
    }
    append(actions, arm_timer());
    return actions;
}

// There is one timer, so it is set for whatever comes first.
claim_actions idempotency_claim::arm_timer() const
{
    auto next = resubmit_time_;
    const bool owes_answer = stage_ == stage::claiming && !answered_;
    if (owes_answer)
        next = std::min(next.value_or(answer_deadline_), answer_deadline_);
    return next ? make_actions(set_claim_timer{*next}) : claim_actions{};
}

claim_actions idempotency_claim::on_outcome(const stored_outcome& outcome,
                                            time_point)
{
    assert(stage_ == stage::dispatched);
    outcome_ = outcome;
    if (outcome_.body.size() > max_kept_body_bytes) {
        outcome_.body.clear();
        outcome_.body_kept = false;
    }
    return write_final_state(claim_state::done);
}

claim_actions idempotency_claim::on_failure(run_state ran, time_point)
{
    assert(stage_ == stage::dispatched);
    return write_final_state(ran == run_state::no ? claim_state::released
                                                  : claim_state::unknown);
}

claim_actions idempotency_claim::limit_answer(time_point latest)
{
    const bool waits = stage_ == stage::claiming && !answered_;
    if (!waits || latest >= answer_deadline_)
        return {};
    answer_deadline_ = latest;
    return arm_timer();
}

claim_actions idempotency_claim::on_cancelled(time_point)
{
    answered_ = true;
    return {};
}

claim_actions idempotency_claim::on_claimed(revision at, time_point now)
{
    claimed_at_ = at;
    if (!answered_ && now < request_.deadline) {
        stage_ = stage::dispatched;
        answered_ = true;
        return make_actions(dispatch_claimed{});
    }
    claim_actions actions;
    if (!answered_)
        actions = refuse({.status = timeout_status,
                          .ran = run_state::no,
                          .retry_after = settings_.retry_after,
                          .detail = "the deadline passed before dispatch"});
    append(actions, write_final_state(claim_state::released));
    return actions;
}

claim_actions
idempotency_claim::on_claim_conflict(const transaction_conflict& conflict,
                                     time_point now)
{
    const table_row row = find_claim_row(conflict, table_key_);
    if (is_own_write(row))
        return on_claimed(row.at, now);
    // The caller no longer waits, and this claim did not take effect.
    if (answered_)
        return finish();
    if (!row.value)
        return submit(claim_state::claimed, row.at);
    try {
        const claim_row other = parse_claim(*row.value, table_key_);
        const bool open = other.state == claim_state::released ||
                          other.expires_unix_ms <= unix_ms_;
        if (open)
            return submit(claim_state::claimed, row.at);
        stage_ = stage::finished;
        return on_other_claim(other);
    } catch (const error& failure) {
        stage_ = stage::finished;
        return refuse({.status = conflict_status,
                       .ran = run_state::maybe,
                       .detail = std::string("the claim of this key is "
                                             "unreadable: ") +
                                 failure.what()});
    }
}

claim_actions idempotency_claim::on_other_claim(const claim_row& other)
{
    refuse_request refusal{.status = conflict_status, .ran = run_state::maybe};
    if (other.key != request_.key || other.request_digest != request_.digest) {
        refusal.ran = run_state::no;
        refusal.detail = "the key belongs to another request";
        return refuse(std::move(refusal));
    }
    if (other.state == claim_state::done) {
        answered_ = true;
        if (other.outcome.body_kept)
            return make_actions(answer_stored{other.outcome});
        refusal.ran = run_state::yes;
        refusal.detail = "the request ran; its answer was too long to keep";
        return refuse(std::move(refusal));
    }
    if (other.state == claim_state::unknown || ended_(other.claimant)) {
        refusal.detail = "the request may have run; its outcome is lost";
        return refuse(std::move(refusal));
    }
    refusal.retry_after = settings_.retry_after;
    refusal.detail = "the request is in progress at another entry";
    return refuse(std::move(refusal));
}

claim_actions
idempotency_claim::on_unavailable(const platform_unavailable& failure,
                                  time_point now)
{
    // Only for the first submission does this result mean that the write had
    // no effect: after a resubmission, an earlier copy may have taken effect.
    const bool has_no_effect = !failure.may_have_run && resubmit_count_ == 0;
    if (stage_ == stage::claiming && has_no_effect) {
        stage_ = stage::finished;
        return refuse_unavailable();
    }
    claim_actions actions;
    const bool give_up = !failure.may_have_run || is_past_answer_deadline(now);
    if (stage_ == stage::claiming && give_up)
        actions = refuse_unavailable();
    append(actions, resubmit_later(now));
    return actions;
}

claim_actions idempotency_claim::resubmit_later(time_point now)
{
    const int doublings = std::min(resubmit_count_++, max_doublings);
    const duration delay = std::min(settings_.resubmit_delay * (1 << doublings),
                                    settings_.max_resubmit_delay);
    resubmit_time_ = now + delay;
    return arm_timer();
}

claim_actions idempotency_claim::submit(claim_state state, revision expected)
{
    const std::string number = std::to_string(write_count_++);
    pending_ = {.write_id = request_.write_id + "-" + number,
                .operations = {{.key = table_key_,
                                .expected = expected,
                                .what = table_operation::action::put,
                                .value = row_text(state)}}};
    resubmit_count_ = 0;
    return make_actions(submit_claim{pending_});
}

claim_actions idempotency_claim::write_final_state(claim_state state)
{
    stage_ = stage::finalizing;
    return submit(state, claimed_at_);
}

claim_actions idempotency_claim::finish()
{
    stage_ = stage::finished;
    return {};
}

claim_actions idempotency_claim::refuse(refuse_request refusal)
{
    if (std::exchange(answered_, true))
        return {};
    return make_actions(std::move(refusal));
}

claim_actions idempotency_claim::refuse_unavailable()
{
    return refuse({.status = unavailable_status,
                   .ran = request_.repeat ? run_state::maybe : run_state::no,
                   .retry_after = settings_.retry_after,
                   .detail = "the table that keeps bookings apart is out"});
}

bool idempotency_claim::is_own_write(const table_row& row) const
{
    return row.at != 0 && row.write_id == pending_.write_id;
}

bool idempotency_claim::is_past_answer_deadline(time_point now) const
{
    return now >= answer_deadline_;
}

std::string idempotency_claim::row_text(claim_state state) const
{
    return to_text({.key = request_.key,
                    .request_digest = request_.digest,
                    .claimant = request_.self,
                    .state = state,
                    .outcome = outcome_,
                    .expires_unix_ms = unix_ms_ + settings_.retention.count()});
}

} // namespace vanillapost
