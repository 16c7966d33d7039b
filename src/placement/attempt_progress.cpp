#include "vanillapost/src/placement/attempt_progress.hpp"

#include <algorithm>

namespace vanillapost {

namespace {

/// Mean time for which a machine keeps its current slowdown.
constexpr double slowdown_duration_us = 150e3;
/// Mean factor of a machine over time.
constexpr double typical_factor = 1.6;
/// Lower bound of the work that remains, as a share of the expected work: some
/// requests take longer than expected.
constexpr double min_remaining_share = 0.2;
/// Once the objective cannot be met, a second attempt has to be this many times
/// faster to be worth it.
constexpr int late_hedge_gain = 2;

double time_for(double work_us, double factor)
{
    const double work_at_factor = slowdown_duration_us / factor;
    if (work_us <= work_at_factor)
        return work_us * factor;
    return slowdown_duration_us + (work_us - work_at_factor) * typical_factor;
}

duration to_duration(double us)
{
    return duration(static_cast<duration::rep>(us));
}

} // namespace

attempt_progress::attempt_progress(duration work, double factor, time_point now)
    : work_(work), factor_(std::max(factor, 0.1)), updated_at_(now)
{
}

void attempt_progress::on_factor(double factor, time_point now)
{
    // The factor changed at an unknown time since the last measurement, so the
    // mean of both applies to that interval.
    const double before = factor_;
    factor_ = (before + std::max(factor, 0.1)) / 2;
    done_us_ = done(now);
    factor_ = std::max(factor, 0.1);
    updated_at_ = now;
}

double attempt_progress::done(time_point now) const
{
    return done_us_ +
           static_cast<double>((now - updated_at_).count()) / factor_;
}

duration attempt_progress::remaining(time_point now) const
{
    const double work = static_cast<double>(work_.count());
    const double left = std::max(work - done(now), work * min_remaining_share);
    return to_duration(time_for(left, factor_));
}

duration attempt_progress::expected(duration work, double factor)
{
    return to_duration(time_for(static_cast<double>(work.count()), factor));
}

bool is_hedge_worthwhile(duration remaining, duration fresh,
                         duration to_objective)
{
    if (to_objective > fresh)
        return remaining > to_objective;
    return remaining > fresh * late_hedge_gain;
}

} // namespace vanillapost
