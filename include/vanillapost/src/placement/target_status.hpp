#ifndef VANILLAPOST_SRC_PLACEMENT_TARGET_STATUS_HPP
#define VANILLAPOST_SRC_PLACEMENT_TARGET_STATUS_HPP

#include "../targets/listed_target.hpp"
#include "load_report.hpp"

#include <optional>

namespace vanillapost {

/// What the end of one attempt says about the health of its target.
enum class health_signal
{
    good,        ///< a complete response that is not a failure
    failed,      ///< a failure, an incomplete response, or none
    unreachable, ///< no connection
    neutral,     ///< no information: cancelled, or refused for lack of capacity
};

/// The state of one target as one instance knows it: the instance's own
/// requests there, the last load report with its age, and the results of recent
/// attempts.
class target_status
{
public:
    /// Requests of this instance that the target is processing now.
    int in_flight() const
    {
        return in_flight_;
    }

    void on_sent(time_point now);
    void on_ended(health_signal signal, time_point now);

    /// Records how long a completed request took.
    /// \param taken     from sending to the end of the response
    /// \param expected  for that work on an idle target at normal speed
    void on_service_time(duration taken, duration expected, time_point now);

    /// \param probed  it answers a probe, which also shows whether the target
    ///                is cold
    void on_report(const load_report& report, bool probed, time_point now);

    void on_probe_sent(time_point now);

    /// A probe was not answered.
    void on_probe_failed(time_point now);

    /// The target is cold and can handle few requests for that long from now;
    /// zero ends it.
    void on_cold(duration left, time_point now);

    /// The target refused a request and wants none for that long.
    void on_pause(duration length, time_point now);

    /// Whether the target has asked for a pause that is not over.
    bool is_paused(time_point now) const
    {
        return now < paused_until_;
    }

    /// Remaining time of the pause, or zero.
    duration pause_left(time_point now) const;

    /// How long this instance has known that the target is cold.
    duration cold_for(time_point now) const
    {
        return now - cold_since_;
    }

    /// The target reports that it accepts no new requests, or that it does so
    /// again.
    void on_draining(bool draining)
    {
        draining_ = draining;
    }

    bool is_draining() const
    {
        return draining_;
    }

    bool is_cold(time_point now) const
    {
        return now < cold_until_;
    }

    /// Estimated number of requests at the target now: those of this instance
    /// and, with a weight that decays with age, those that other instances had
    /// there at the last report.
    double load(time_point now) const;

    /// Likewise, but those of other instances as at the last report, whatever
    /// its age; nullopt without a report.
    std::optional<double> load_at_report() const;

    /// Expected slowdown of its machine now. A report loses its weight within
    /// some 100 ms.
    double slowdown_factor(time_point now) const;

    /// Probability that a request fails there, estimated from recent ones.
    double failure_rate(time_point now) const;

    /// Its last attempts all failed, so it should not be used for a while.
    bool is_failing(time_point now) const;

    /// Factor by which its responses take longer than its reports explain; 1 or
    /// more.
    double unexplained_slowdown(time_point now) const;

    /// No connection to it could be made recently, or it left a probe
    /// unanswered. It gets no request until it reports its load again, or until
    /// a timeout.
    bool is_suspect(time_point now) const
    {
        return now < suspect_until_;
    }

    /// It may be down: it is suspect, or a probe is pending for longer than a
    /// live target takes to answer.
    bool may_be_down(time_point now) const;

    duration report_age(time_point now) const;
    duration probe_age(time_point now) const;

    /// Whether any request was ever sent there.
    bool was_used() const
    {
        return used_;
    }

private:
    void decay(time_point now);
    void mark_suspect(time_point now);

    int in_flight_ = 0;
    bool used_ = false;
    bool draining_ = false;
    std::optional<load_report> report_;
    int own_in_flight_at_report_ = 0;
    time_point reported_at_{};
    std::optional<time_point> probed_at_;
    std::optional<time_point> probe_pending_since_;
    double failures_ = 0; ///< decaying count, see decay()
    double answers_ = 0;  ///< likewise
    int failures_in_row_ = 0;
    time_point failed_at_{};
    double unexplained_slowdown_ = 1;
    time_point decayed_at_{};
    time_point cold_since_{};
    time_point cold_until_{};
    time_point paused_until_{};
    time_point suspect_until_{};
    int consecutive_suspicions_ = 0;
};

} // namespace vanillapost

#endif
