#include "vanillapost/src/placement/target_status.hpp"

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
constexpr double unexplained_slowdown_step = 0.25;
constexpr double max_unexplained_slowdown = 12;
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

void target_status::on_sent(time_point)
{
    ++in_flight_;
    used_ = true;
}

void target_status::on_ended(health_signal signal, time_point now)
{
    assert(in_flight_ > 0);
    --in_flight_;
    decay(now);
    switch (signal) {
    case health_signal::good:
        answers_ += 1;
        consecutive_suspicions_ = 0;
        failures_in_row_ = 0;
        break;
    case health_signal::failed:
        answers_ += 1;
        failures_ += 1;
        ++failures_in_row_;
        failed_at_ = now;
        break;
    case health_signal::unreachable:
        mark_suspect(now);
        break;
    case health_signal::neutral:
        break;
    }
}

void target_status::on_service_time(duration taken, duration expected,
                                    time_point now)
{
    decay(now);
    const double ratio =
        static_cast<double>(taken.count()) /
        static_cast<double>(std::max(expected, 1000us).count());
    unexplained_slowdown_ +=
        unexplained_slowdown_step * (ratio - unexplained_slowdown_);
    unexplained_slowdown_ =
        std::clamp(unexplained_slowdown_, 1.0, max_unexplained_slowdown);
}

void target_status::on_report(const load_report& report, bool probed,
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

void target_status::on_probe_sent(time_point now)
{
    if (!probe_pending_since_)
        probe_pending_since_ = now;
}

void target_status::on_probe_failed(time_point now)
{
    probe_pending_since_.reset();
    mark_suspect(now);
}

bool target_status::may_be_down(time_point now) const
{
    const bool probe_overdue =
        probe_pending_since_ && now - *probe_pending_since_ > probe_answer_time;
    return probe_overdue || is_suspect(now);
}

void target_status::on_cold(duration left, time_point now)
{
    if (!is_cold(now))
        cold_since_ = now;
    cold_until_ = now + left;
}

// A later, shorter pause does not cut a longer one short.
void target_status::on_pause(duration length, time_point now)
{
    paused_until_ = std::max(paused_until_, now + length);
}

duration target_status::pause_left(time_point now) const
{
    return std::max(paused_until_ - now, duration::zero());
}

double target_status::load(time_point now) const
{
    if (!report_)
        return in_flight_;
    const double reported = report_->running + report_->waiting;
    const double others = std::max(0.0, reported - own_in_flight_at_report_);
    return in_flight_ + others * decay_weight(now - reported_at_, others_decay);
}

std::optional<double> target_status::load_at_report() const
{
    if (!report_)
        return std::nullopt;
    const double reported = report_->running + report_->waiting;
    return in_flight_ + std::max(0.0, reported - own_in_flight_at_report_);
}

double target_status::slowdown_factor(time_point now) const
{
    if (!report_)
        return typical_slowdown;
    const double trust = decay_weight(now - reported_at_, slowdown_decay);
    return trust * report_->slowdown_factor + (1 - trust) * typical_slowdown;
}

double target_status::failure_rate(time_point now) const
{
    const double retained = decay_weight(now - decayed_at_, health_decay);
    return failures_ * retained / (answers_ * retained + prior_answers);
}

bool target_status::is_failing(time_point now) const
{
    return failures_in_row_ >= failing_threshold &&
           now - failed_at_ < failing_pause;
}

double target_status::unexplained_slowdown(time_point now) const
{
    const double smoothed =
        1 + (unexplained_slowdown_ - 1) *
                decay_weight(now - decayed_at_, health_decay);
    return std::max(smoothed / typical_excess, 1.0);
}

duration target_status::report_age(time_point now) const
{
    return report_ ? now - reported_at_ : duration::max();
}

duration target_status::probe_age(time_point now) const
{
    return probed_at_ ? now - *probed_at_ : duration::max();
}

void target_status::decay(time_point now)
{
    const double retained = decay_weight(now - decayed_at_, health_decay);
    failures_ *= retained;
    answers_ *= retained;
    unexplained_slowdown_ = 1 + (unexplained_slowdown_ - 1) * retained;
    decayed_at_ = now;
}

void target_status::mark_suspect(time_point now)
{
    const auto suspect_time = std::min(
        min_suspect_time * (1 << consecutive_suspicions_), max_suspect_time);
    consecutive_suspicions_ = std::min(consecutive_suspicions_ + 1, 3);
    suspect_until_ = now + suspect_time;
}

} // namespace vanillapost
