#ifndef VANILLAPOST_SRC_PLACEMENT_TARGET_KNOWLEDGE_HPP
#define VANILLAPOST_SRC_PLACEMENT_TARGET_KNOWLEDGE_HPP

#include "../targets/listed_target.hpp"
#include "load_report.hpp"

#include <optional>

namespace vanillapost {

/// How one attempt at a target ended, as far as its health is concerned.
enum class attempt_verdict
{
    good,        ///< a whole answer that is no failure
    failed,      ///< a failure, a broken answer, or none
    unreachable, ///< no connection
    neutral,     ///< says nothing: cancelled, or refused for lack of room
};

/// What one instance knows of one target: its own count of requests there,
/// the last report with its age, and how its recent answers went.
class target_knowledge
{
public:
    /// Requests that this instance has there now.
    int in_flight() const
    {
        return in_flight_;
    }

    void on_sent(time_point now);
    void on_ended(attempt_verdict verdict, time_point now);

    /// \param taken     from sending to the end of the answer
    /// \param expected  for that work on an idle target at the usual pace
    void on_service_time(duration taken, duration expected, time_point now);

    /// \param probed  asked for, which also tells whether the target is cold
    void on_report(const load_report& report, bool probed, time_point now);

    void on_probe_sent(time_point now);

    /// A probe had no answer.
    void on_probe_failed(time_point now);

    /// The target bears little for that long from now; zero ends it.
    void on_cold(duration left, time_point now);

    /// The target turned a request away and wants nothing for that long.
    void on_pause(duration length, time_point now);

    /// Whether the target has asked for a pause that is not over.
    bool is_paused(time_point now) const
    {
        return now < paused_until_;
    }

    /// What is left of its pause.
    duration pause_left(time_point now) const;

    /// How long this instance has known that it is cold.
    duration cold_for(time_point now) const
    {
        return now - cold_since_;
    }

    /// The target says that it takes no new work, or that it does again.
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

    /// Requests there now: this instance's count and what others had there
    /// when the last report was made.
    double load(time_point now) const;

    /// Expected pace now. A report loses its weight in some 100 ms.
    double pace(time_point now) const;

    /// Probability that a request fails there, from recent ones.
    double failure_rate(time_point now) const;

    /// Its last answers were all failures: better not to use it for a while.
    bool is_failing(time_point now) const;

    /// How much longer its answers take than its reports explain, 1 or more.
    double slowness(time_point now) const;

    /// No connection or no answer to a probe lately: it gets no request until
    /// a probe is answered, or until `retry_at`.
    bool is_suspect(time_point now) const
    {
        return now < suspect_until_;
    }

    /// It may be gone: suspect, or a probe is out for longer than a live target
    /// takes to answer it.
    bool is_doubtful(time_point now) const;

    duration report_age(time_point now) const;
    duration probe_age(time_point now) const;

    /// Whether any request was ever sent there.
    bool was_used() const
    {
        return used_;
    }

private:
    void decay(time_point now);
    void suspect(time_point now);

    int in_flight_ = 0;
    bool used_ = false;
    bool draining_ = false;
    std::optional<load_report> report_;
    int own_at_report_ = 0;
    time_point reported_at_{};
    std::optional<time_point> probed_at_;
    std::optional<time_point> probe_out_since_;
    double failures_ = 0; ///< weighted count, see decay
    double answers_ = 0;
    int failures_in_row_ = 0;
    time_point failed_at_{};
    double slowness_ = 1;
    time_point decayed_at_{};
    time_point cold_since_{};
    time_point cold_until_{};
    time_point paused_until_{};
    time_point suspect_until_{};
    int suspicions_ = 0; ///< in a row
};

} // namespace vanillapost

#endif
