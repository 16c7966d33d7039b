#ifndef VANILLAPOST_SRC_ATTEMPTS_CRASH_SUSPECTS_HPP
#define VANILLAPOST_SRC_ATTEMPTS_CRASH_SUSPECTS_HPP

#include "../base/time.hpp"
#include "crash_report.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace vanillapost {

/// Names what one request shares with others that have the same effect on a
/// target: its method, host and target, and a digest of its body. Of bounded
/// length and printable whatever the request holds.
std::string request_identity(std::string_view method, std::string_view host,
                             std::string_view target, std::string_view body);

/// Whether a request may be sent to a target.
enum class crash_admission
{
    allowed,
    trial, ///< allowed, to see whether it still ends its target
    held   ///< refused: targets have ended under requests like it
};

/// Requests under which targets have ended, and whether one like them may be
/// sent to a further target.
///
/// A target that ends breaks every request in flight there, so one end accuses
/// them all. A request is held back once two targets have ended under it, as
/// only a guilty one is there again and again; one that was answered since is
/// cleared. So is one whose ends another request explains: it was in flight at
/// the same targets, and at more of them. A broken connection alone accuses
/// nobody: it counts once the target refuses connections too.
///
/// What is held back is tried again after a time that is drawn for each
/// instance, so that one of them tries first; the others hear of the trial and
/// wait for its result. After many ends the time doubles with each further one.
class crash_suspects
{
public:
    /// \param key  of the hash by which requests are found, drawn at the start:
    ///             nobody can choose a request that falls on another's entry
    explicit crash_suspects(std::uint64_t key);

    /// A connection to the target broke before an answer to the request.
    /// \param start_unix_ms  start of the target process
    void on_connection_lost(std::string_view request, std::string_view target,
                            std::int64_t start_unix_ms, time_point now);

    /// The target refuses connections.
    /// \return what this accuses for the first time, to be told to peers
    std::vector<crash_report> on_connection_refused(std::string_view target,
                                                    time_point now);

    /// A peer has seen this.
    /// \return whether it was news
    bool on_peer_report(const crash_report& report, time_point now);

    /// A peer has begun a trial of the request.
    void on_peer_trial(std::string_view request, time_point now);

    /// Forgets the request: a target has answered it, or an operator says that
    /// it does no harm any more.
    /// \return whether a target had ended under it
    bool release(std::string_view request);

    /// Returns whether the request may be sent to a target. Once a held one's
    /// time is over, one is let through.
    crash_admission admit(std::string_view request, time_point now);

    /// While one target has ended under a request, one like it is sent at a
    /// time: whether it is this one's turn. The first turn is that of the
    /// request itself, which is repeated.
    /// \param length  of a turn: in most cases a request has been answered, or
    ///                has ended its target, after this time
    bool takes_turn(std::string_view request, duration length, time_point now);

    /// Whether it has been held back, until now or until its latest trial.
    bool was_held(std::string_view request) const;

    /// Whether a target has ended under it.
    bool is_suspected(std::string_view request) const
    {
        return find(request) != nullptr;
    }

    /// Returns whether the request is held back, without letting one through.
    bool is_held(std::string_view request, time_point now) const;

    /// Time until the next request like this one is let through; zero if it is
    /// not held back.
    duration hold_left(std::string_view request, time_point now) const;

    /// The latest ends under requests that are held back, to be told to an
    /// instance that has just started.
    /// \param most  reports at most
    std::vector<crash_report> held_reports(std::size_t most,
                                           time_point now) const;

    /// Identities of the requests that are held back.
    std::vector<std::string> held_requests(time_point now) const;

    /// Whether there is anything that `admit` could hold back.
    bool is_empty() const
    {
        return entries_.empty();
    }

    /// Bounds on the memory, whatever callers send.
    static constexpr std::size_t max_entries = 2048;
    static constexpr std::size_t max_pending = 2048;

private:
    struct ended_target
    {
        std::string target;
        std::int64_t start_unix_ms = 0; ///< 0 if a peer has not told
    };

    struct entry
    {
        std::string request;
        std::vector<ended_target> ended; ///< the latest ones
        std::size_t ends = 0;
        time_point last_accused{};
        time_point held_until{};
        time_point turn_began{}; ///< of the one that is sent meanwhile
    };

    struct lost_connection
    {
        std::string target;
        std::int64_t start_unix_ms = 0;
        std::string request;
        time_point at{};
    };

    static bool is_same(const ended_target& one, const ended_target& other);
    static bool is_forgotten(const entry& accused, time_point now);
    static bool explains(const entry& other, const entry& accused);

    std::uint64_t hash(std::string_view text) const;
    const entry* find(std::string_view request) const;
    bool is_explained(const entry& accused) const;
    bool is_held(const entry& accused, time_point now) const;
    bool accuse(std::string_view request, ended_target ended, time_point at,
                time_point now);
    time_point end_of_hold(const entry& held) const;
    void make_room(time_point now);
    void forget_old(time_point now);

    std::uint64_t key_;
    std::unordered_map<std::uint64_t, entry> entries_; ///< by hashed request
    std::vector<lost_connection> pending_;
    time_point next_cleanup_{};
};

} // namespace vanillapost

#endif
