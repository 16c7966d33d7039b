#ifndef VANILLAPOST_SRC_ROUTING_TARGET_PICKER_HPP
#define VANILLAPOST_SRC_ROUTING_TARGET_PICKER_HPP

#include "../base/identifier.hpp"
#include "../base/random.hpp"
#include "../base/time.hpp"
#include "latency_tracker.hpp"

#include <map>
#include <optional>
#include <span>

namespace vanillapost {

/// A held target that could take a request.
struct target_candidate
{
    target_id target;
    int in_flight = 0;
    int limit = 0;      ///< a candidate without a free slot is passed over
    bool local = false; ///< in this entry's data centre

    /// How long the longest running request has been running.
    duration oldest_age{};
};

/// How an answer counts for routing.
enum class answer_quality
{
    good,
    failed, ///< error, reset, refused connection: however fast it came
    shed,   ///< the target did not run it, because it is busy or draining
};

struct target_picker_settings
{
    double slow_factor = 3;   ///< times the median at which a target is avoided
    int samples_to_judge = 3; ///< answers before its latency is judged
    double overdue_factor = 6;  ///< times the median for a running request
    double report_weight = 0.1; ///< of a dated load report against own counts
    duration report_life = std::chrono::seconds(1); ///< ignored when older
    double remote_penalty = 0.2; ///< score added for another data centre
    duration first_backoff = std::chrono::milliseconds(200);
    duration longest_backoff = std::chrono::seconds(10);
    duration shed_pause = std::chrono::milliseconds(10);
    int good_to_return = 3; ///< good answers in a row that end the avoidance
    double largest_avoided_share = 0.5; ///< of the service's targets
};

/// Chooses among the held targets of one service.
///
/// A target is avoided after failures, and when its latency stands out
/// against the median of the others. It is tried again with one request after
/// a backoff that doubles with each bad try, and returns after a few good
/// answers in a row. A failed answer is bad however fast it came, so that a
/// target that fails fast attracts no work. When more than half of three or
/// more would be avoided, the cause is not the target, and all are used.
class target_picker
{
public:
    explicit target_picker(const target_picker_settings& settings = {});

    /// Picks a target with a free slot, or nothing.
    ///
    /// \warning Call `on_dispatch` for the picked target when it is used: it
    /// counts the single request of a target that is being tried again.
    std::optional<target_id> pick(std::span<const target_candidate> candidates,
                                  time_point now, random_engine& random) const;

    /// Picks also among targets that are avoided for being slow, though not
    /// among those that fail: for when all else is full.
    ///
    /// \param wait  expected wait for a place elsewhere; a target that is
    /// slower than that is of no use
    std::optional<target_id>
    pick_slow(std::span<const target_candidate> candidates, duration wait,
              time_point now, random_engine& random) const;

    void on_dispatch(const target_id& target);

    /// \param latency  from dispatch to the first byte of the answer
    void on_answer(const target_id& target, time_point now, duration latency,
                   answer_quality quality);

    /// The dispatch ended without saying anything of the target, for example
    /// because the caller went away.
    void on_cancelled(const target_id& target);

    /// A load report; `at` is when it was received.
    void on_load_report(const target_id& target, time_point at, int in_flight,
                        int slots);

    /// Median latency of the service's targets that other entries hold. An
    /// entry with one target of a service can only judge it against this.
    void set_reference(std::optional<duration> median);

    /// Whether requests avoid the target at present.
    bool avoided(const target_id& target, time_point now) const;

    /// When the next target that is passed over may be tried, or sooner.
    ///
    /// \warning Nothing else may happen by then: try waiting requests again
    /// at this time.
    std::optional<time_point> next_change(time_point now) const;

    /// Whether `latency` is far above that of the service's other targets.
    bool stands_out(const target_id& target, duration latency) const;

    /// Median over the targets of mean latency; nothing before an answer.
    std::optional<duration> median_latency() const;

    /// Forgets a target that is held no longer.
    void remove(const target_id& target);

private:
    enum class avoidance
    {
        none,
        slow,
        failing,
    };

    struct state
    {
        latency_tracker latency;
        double failure_rate = 0;
        avoidance avoided = avoidance::none;
        time_point avoided_until{}; ///< then tried with one request at a time
        int bad_tries = 0;          ///< doublings of the backoff
        int good_tries = 0;
        int trial_in_flight = 0;
        time_point paused_until{};
        time_point answered_at{};
        double reported_load = 0;
        time_point reported_at{};
    };

    enum class fitness
    {
        unfit,
        slow,
        fit,
        trial, ///< due to be tried again
    };

    void avoid(state& target, avoidance why, time_point now);
    void on_trial_answer(state& target, bool good, time_point now);
    void judge(const target_id& target, state& judged, duration latency,
               time_point now);
    void update_median();
    double median_of_others(const target_id& target) const;
    fitness judge_fitness(const target_candidate& candidate, time_point now,
                          bool ignore_avoidance) const;
    bool slower_than(const target_candidate& candidate, duration wait) const;
    double score(const target_candidate& candidate, time_point now) const;
    bool too_many_avoided(std::span<const target_candidate> candidates) const;
    std::optional<target_id>
    best_of(std::span<const target_candidate> candidates, time_point now,
            random_engine& random, fitness least) const;

    target_picker_settings settings_;
    std::map<target_id, state> states_;
    double median_ = 0;    ///< microseconds; 0 while unknown
    double reference_ = 0; ///< microseconds; 0 while unknown
};

} // namespace vanillapost

#endif
