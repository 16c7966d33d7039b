#include "vanillapost/src/placement/target_knowledge.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace vanillapost {

namespace {

using namespace std::chrono_literals;

/// Decay time of a reported slowdown. A shared machine keeps its slowdown for
/// about 300 ms.
constexpr duration slowdown_decay = 200ms;
/// Decay time of the requests of other instances in a report, which are over
/// after about one service time.
constexpr duration others_decay = 400ms;
/// Decay time of failures and slow responses, so that a target is tried again
/// after it has recovered.
constexpr duration health_decay = 4s;
/// Weight, in attempts, of the prior that a target without history is healthy.
constexpr double prior_answers = 2;
/// After this many failures in a row, a target is not used for the pause.
constexpr int failing_threshold = 5;
constexpr duration failing_pause = 2s;
constexpr double slowness_step = 0.25;
constexpr double max_slowness = 12;
/// Responses up to this factor slower than expected are normal on machines
/// whose slowdown changes during a request.
constexpr double typical_excess = 1.6;
/// A live target answers a probe within a few milliseconds.
constexpr duration probe_answer_time = 7ms;
constexpr duration min_suspect_time = 300ms;
constexpr duration max_suspect_time = 2400ms;

double decay_weight(duration age, duration decay_time)
{
    const double ratio = static_cast<double>(age.count()) /
                         static_cast<double>(decay_time.count());
    return std::exp(-std::max(ratio, 0.0));
}

} // namespace

void target_knowledge::on_sent(time_point)
{
    ++in_flight_;
    used_ = true;
}

void target_knowledge::on_ended(attempt_verdict verdict, time_point now)
{
    assert(in_flight_ > 0);
    --in_flight_;
    decay(now);
    switch (verdict) {
    case attempt_verdict::good:
        answers_ += 1;
        consecutive_suspicions_ = 0;
        failures_in_row_ = 0;
        break;
    case attempt_verdict::failed:
        answers_ += 1;
        failures_ += 1;
        ++failures_in_row_;
        failed_at_ = now;
        break;
    case attempt_verdict::unreachable:
        mark_suspect(now);
        break;
    case attempt_verdict::neutral:
        break;
    }
}

void target_knowledge::on_service_time(duration taken, duration expected,
                                       time_point now)
{
    decay(now);
    const double ratio =
        static_cast<double>(taken.count()) /
        static_cast<double>(std::max(expected, 1000us).count());
    slowness_ += slowness_step * (ratio - slowness_);
    slowness_ = std::clamp(slowness_, 1.0, max_slowness);
}

void target_knowledge::on_report(const load_report& report, bool probed,
                                 time_point now)
{
    report_ = report;
    own_in_flight_at_report_ = in_flight_;
    reported_at_ = now;
    suspect_until_ = {};
    if (!probed)
        return;
    probed_at_ = now;
    probe_pending_since_.reset();
    consecutive_suspicions_ = 0;
}

void target_knowledge::on_probe_sent(time_point now)
{
    if (!probe_pending_since_)
        probe_pending_since_ = now;
}

void target_knowledge::on_probe_failed(time_point now)
{
    probe_pending_since_.reset();
    mark_suspect(now);
}

bool target_knowledge::is_doubtful(time_point now) const
{
    const bool probe_overdue =
        probe_pending_since_ && now - *probe_pending_since_ > probe_answer_time;
    return probe_overdue || is_suspect(now);
}

void target_knowledge::on_cold(duration left, time_point now)
{
    if (!is_cold(now))
        cold_since_ = now;
    cold_until_ = now + left;
}

// A later, shorter pause does not cut a longer one short.
void target_knowledge::on_pause(duration length, time_point now)
{
    paused_until_ = std::max(paused_until_, now + length);
}

duration target_knowledge::pause_left(time_point now) const
{
    return std::max(paused_until_ - now, duration::zero());
}

double target_knowledge::load(time_point now) const
{
    if (!report_)
        return in_flight_;
    const double reported = report_->running + report_->waiting;
    const double others = std::max(0.0, reported - own_in_flight_at_report_);
    return in_flight_ + others * decay_weight(now - reported_at_, others_decay);
}

double target_knowledge::pace(time_point now) const
{
    if (!report_)
        return typical_slowdown;
    const double trust = decay_weight(now - reported_at_, slowdown_decay);
    return trust * report_->pace + (1 - trust) * typical_slowdown;
}

double target_knowledge::failure_rate(time_point now) const
{
    const double retained = decay_weight(now - decayed_at_, health_decay);
    return failures_ * retained / (answers_ * retained + prior_answers);
}

bool target_knowledge::is_failing(time_point now) const
{
    return failures_in_row_ >= failing_threshold &&
           now - failed_at_ < failing_pause;
}

double target_knowledge::slowness(time_point now) const
{
    const double smoothed =
        1 + (slowness_ - 1) * decay_weight(now - decayed_at_, health_decay);
    return std::max(smoothed / typical_excess, 1.0);
}

duration target_knowledge::report_age(time_point now) const
{
    return report_ ? now - reported_at_ : duration::max();
}

duration target_knowledge::probe_age(time_point now) const
{
    return probed_at_ ? now - *probed_at_ : duration::max();
}

void target_knowledge::decay(time_point now)
{
    const double retained = decay_weight(now - decayed_at_, health_decay);
    failures_ *= retained;
    answers_ *= retained;
    slowness_ = 1 + (slowness_ - 1) * retained;
    decayed_at_ = now;
}

void target_knowledge::mark_suspect(time_point now)
{
    const auto suspect_time = std::min(
        min_suspect_time * (1 << consecutive_suspicions_), max_suspect_time);
    consecutive_suspicions_ = std::min(consecutive_suspicions_ + 1, 3);
    suspect_until_ = now + suspect_time;
}

} // namespace vanillapost
