#ifndef VANILLAPOST_SRC_LIMITS_TARGET_LIMITER_HPP
#define VANILLAPOST_SRC_LIMITS_TARGET_LIMITER_HPP

#include "cold_ramp.hpp"
#include "slot_share.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace vanillapost {

/// What a target says of itself in `Target-State`.
enum class target_state
{
    unknown, ///< it said nothing
    cold,
    warm,
    draining,
};

/// How a dispatched request ended, as far as the target's load goes.
enum class completion
{
    good,      ///< a whole answer
    slow,      ///< a whole answer, far slower than the service's other targets
    failed,    ///< an error of the target, such as 500
    shed,      ///< the target refused it, being too busy
    not_run,   ///< the target refused it for another reason, such as expiry
    refused,   ///< no connection could be made; no byte was sent
    broken,    ///< the connection broke after it was sent: it may still run
    timed_out, ///< no answer by the deadline: it may still run
    cancelled, ///< this side closed the connection: it may still run
};

struct target_limiter_settings
{
    int slots = 1;          ///< share of the records' limits
    int cold_slots = 1;     ///< limit while the target is cold
    int connections = 200;  ///< open connections that the target bears
    int good_per_level = 8; ///< good completions to rise by one slot

    /// Longest that a request may run, also within half of the limit.
    duration max_attempt = std::chrono::seconds(5);

    /// Time after `exclusive_until` for which a new holder keeps to half.
    duration grace = std::chrono::seconds(1);

    /// Added to a deadline before work of unknown outcome is taken as over.
    duration deadline_margin = std::chrono::milliseconds(50);

    /// Time after a cancellation by which a target that still answers has
    /// noticed it.
    duration cancel_time = std::chrono::milliseconds(20);

    /// Shortest time that a dispatch must have left to be worth sending.
    duration shortest_deadline = std::chrono::milliseconds(1);
};

/// The right to have one request in flight on a target.
struct slot_ticket
{
    std::uint64_t number = 0;

    /// Deadline to send to the target; may be earlier than was asked for.
    time_point deadline{};
};

/// Counts the requests in flight on one held target and keeps them within
/// every limit: records, hold, cold start, connections and drain.
///
/// \note Only the holder of a target has a limiter for it, so that the count
/// is exact.
/// \warning A request whose outcome is unknown keeps its slot until its
/// deadline has passed, because the target may still run it. A cancelled one
/// keeps it until then or until the target has answered something that was
/// sent well after the cancellation.
class target_limiter
{
public:
    explicit target_limiter(const target_limiter_settings& settings);

    /// Takes a slot for a request, if there is one.
    ///
    /// \param deadline  the request's own deadline
    /// \return nothing when the target may take no further request with a
    /// useful deadline
    std::optional<slot_ticket>
    try_acquire(time_point now, const slot_share& share, time_point deadline);

    /// Ends the request of a ticket; unknown tickets are a logic error.
    ///
    /// \param state  `Target-State` of the answer
    void finish(const slot_ticket& ticket, time_point now, completion how,
                target_state state);

    /// Applies a sign of the target's state from a probe or report.
    void on_state(target_state state);

    /// The target answered something that was sent at `sent`, such as a probe.
    void on_alive(time_point sent);

    /// Back to the cold limit: new hold without knowledge, unreachable, or its
    /// data centre came back.
    void mark_cold();

    /// The target is known to be warm, from the previous holder's release.
    void mark_warm();

    /// Takes over limits that operators changed.
    void change_limits(int slots, int cold_slots, int connections);

    /// No new work, because its record says so or the hold is being released.
    void set_leaving(bool leaving);

    /// Requests that count against the limits at `now`.
    int in_flight(time_point now);

    /// Limit at `now` under all bounds.
    int limit(time_point now, const slot_share& share) const;

    int free(time_point now, const slot_share& share);

    /// Start of the longest running request, for the target's latency.
    std::optional<time_point> oldest_start() const;

    bool warm() const
    {
        return ramp_.warm();
    }

    bool draining() const
    {
        return draining_;
    }

private:
    struct running
    {
        time_point started;
        time_point deadline;
        int busy = 0;           ///< most in flight while it ran
        bool abandoned = false; ///< ended without a known outcome
        std::optional<time_point> cancelled_at{};
    };

    void expire(time_point now);
    void note_busy();
    void end(running& request, time_point now, completion how);
    void learn(const running& request, completion how, target_state state);
    int half(const slot_share& share) const;
    int bound(int slots, int cold_level) const;

    target_limiter_settings settings_;
    cold_ramp ramp_;
    std::map<std::uint64_t, running> running_;
    std::uint64_t next_number_ = 1;
    bool draining_ = false;
    bool leaving_ = false;
};

} // namespace vanillapost

#endif
