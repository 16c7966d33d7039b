#include "vanillapost/src/placement/target_knowledge.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace vanillapost {

namespace {

using namespace std::chrono_literals;

/// A shared machine keeps its pace for about 300 ms.
constexpr duration pace_memory = 200ms;
/// Others' requests in a report are over after about one service time.
constexpr duration others_memory = 400ms;
/// Failures and slowness of a target are forgotten at this rate, so that it
/// is tried again after it has recovered.
constexpr duration health_memory = 4s;
/// Weight of the assumption that a target without history is sound.
constexpr double prior_answers = 2;
/// A target that fails so often in a row is tried again after the pause.
constexpr int failing_after = 5;
constexpr duration failing_pause = 2s;
constexpr double slowness_step = 0.25;
constexpr double max_slowness = 12;
/// Answers that take so much longer than expected are nothing unusual on
/// machines whose pace changes while they work.
constexpr double usual_excess = 1.6;
/// A live target answers a probe within a few milliseconds.
constexpr duration probe_answer_time = 7ms;
constexpr duration first_suspicion = 300ms;
constexpr duration longest_suspicion = 2400ms;

double faded(duration age, duration memory)
{
    const double ratio =
        static_cast<double>(age.count()) / static_cast<double>(memory.count());
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
        suspicions_ = 0;
        failures_in_row_ = 0;
        break;
    case attempt_verdict::failed:
        answers_ += 1;
        failures_ += 1;
        ++failures_in_row_;
        failed_at_ = now;
        break;
    case attempt_verdict::unreachable:
        suspect(now);
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
    own_at_report_ = in_flight_;
    reported_at_ = now;
    suspect_until_ = {};
    if (!probed)
        return;
    probed_at_ = now;
    probe_out_since_.reset();
    suspicions_ = 0;
}

void target_knowledge::on_probe_sent(time_point now)
{
    if (!probe_out_since_)
        probe_out_since_ = now;
}

void target_knowledge::on_probe_failed(time_point now)
{
    probe_out_since_.reset();
    suspect(now);
}

bool target_knowledge::is_doubtful(time_point now) const
{
    const bool overdue =
        probe_out_since_ && now - *probe_out_since_ > probe_answer_time;
    return overdue || is_suspect(now);
}

void target_knowledge::on_cold(duration left, time_point now)
{
    if (!is_cold(now))
        cold_since_ = now;
    cold_until_ = now + left;
}

// A shorter pause that it asks for later does not take back the longer one.
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
    const double others = std::max(0.0, reported - own_at_report_);
    return in_flight_ + others * faded(now - reported_at_, others_memory);
}

double target_knowledge::pace(time_point now) const
{
    if (!report_)
        return usual_pace;
    const double trust = faded(now - reported_at_, pace_memory);
    return trust * report_->pace + (1 - trust) * usual_pace;
}

double target_knowledge::failure_rate(time_point now) const
{
    const double kept = faded(now - decayed_at_, health_memory);
    return failures_ * kept / (answers_ * kept + prior_answers);
}

bool target_knowledge::is_failing(time_point now) const
{
    return failures_in_row_ >= failing_after &&
           now - failed_at_ < failing_pause;
}

double target_knowledge::slowness(time_point now) const
{
    const double seen =
        1 + (slowness_ - 1) * faded(now - decayed_at_, health_memory);
    return std::max(seen / usual_excess, 1.0);
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
    const double kept = faded(now - decayed_at_, health_memory);
    failures_ *= kept;
    answers_ *= kept;
    slowness_ = 1 + (slowness_ - 1) * kept;
    decayed_at_ = now;
}

void target_knowledge::suspect(time_point now)
{
    const auto pause =
        std::min(first_suspicion * (1 << suspicions_), longest_suspicion);
    suspicions_ = std::min(suspicions_ + 1, 3);
    suspect_until_ = now + pause;
}

} // namespace vanillapost
