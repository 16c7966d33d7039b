#include "vanillapost/src/placement/attempt_progress.hpp"

#include <algorithm>

namespace vanillapost {

namespace {

/// How much longer a machine keeps its pace, on average.
constexpr double pace_lasts_us = 150e3;
/// Mean factor over time, of a pace that changes.
constexpr double usual_factor = 1.6;
/// Work that turns out longer than usual: this part of the usual is expected
/// to be left at any time.
constexpr double least_left = 0.2;
/// A late answer is worth a second attempt only if that comes much sooner.
constexpr int late_gain = 2;

double time_for(double work_us, double factor)
{
    const double at_this_pace = pace_lasts_us / factor;
    if (work_us <= at_this_pace)
        return work_us * factor;
    return pace_lasts_us + (work_us - at_this_pace) * usual_factor;
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
    // It changed at some moment since the last measurement.
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
    const double left = std::max(work - done(now), work * least_left);
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
    return remaining > fresh * late_gain;
}

} // namespace vanillapost
