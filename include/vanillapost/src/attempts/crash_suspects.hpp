#ifndef VANILLAPOST_SRC_ATTEMPTS_CRASH_SUSPECTS_HPP
#define VANILLAPOST_SRC_ATTEMPTS_CRASH_SUSPECTS_HPP

#include "../base/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace vanillapost {

/// A target that ended while it had a request.
struct crash_report
{
    std::string request; ///< \ref request_identity of it
    std::string target;
};

/// Names what one request shares with others that have the same effect on a
/// target: its method, host and target, and a digest of its body. Of bounded
/// length and printable whatever the request holds.
std::string request_identity(std::string_view method, std::string_view host,
                             std::string_view target, std::string_view body);

/// Requests under which targets have ended, and whether one like them may be
/// sent to a further target.
///
/// A target that ends breaks every request in flight there, so one end accuses
/// them all. A request is held back once distinct targets have ended under it,
/// as only a guilty one is there again and again; one that was answered since
/// is cleared. A broken connection alone accuses nobody: it counts once the
/// target refuses connections too.
///
/// What is held back is tried again after a time that doubles with each further
/// target that ends under it. The time is drawn for each instance, so that one
/// of them tries first and the others hear of its result.
class crash_suspects
{
public:
    /// \param key  of the hash by which requests are found, drawn at the start:
    ///             nobody can choose a request that falls on another's entry
    explicit crash_suspects(std::uint64_t key);

    /// A connection to the target broke before an answer to the request.
    void on_connection_lost(std::string_view request, std::string_view target,
                            time_point now);

    /// The target refuses connections.
    /// \return what this accuses for the first time, to be told to peers
    std::vector<crash_report> on_connection_refused(std::string_view target,
                                                    time_point now);

    /// A peer has seen this.
    /// \return whether it was news
    bool on_peer_report(const crash_report& report, time_point now);

    /// The request was answered by a target.
    void on_answered(std::string_view request);

    /// Returns whether the request may be sent to a target that it has not been
    /// sent to. Once a held one's time is over, one is let through.
    bool admits(std::string_view request, time_point now);

    /// Returns whether the request is held back, without letting one through.
    bool is_held(std::string_view request, time_point now) const;

    /// Whether there is anything that `admits` could hold back.
    bool is_empty() const
    {
        return entries_.empty();
    }

    /// Bounds on the memory, whatever callers send.
    static constexpr std::size_t max_entries = 2048;
    static constexpr std::size_t max_pending = 2048;

private:
    struct entry
    {
        std::vector<std::uint64_t> targets; ///< distinct ones that ended
        time_point last_accused{};
        time_point held_until{};
        duration hold{}; ///< before the next trial; zero until it is held
    };

    struct lost_connection
    {
        std::uint64_t target;
        std::string target_name;
        std::string request;
        time_point at{};
    };

    std::uint64_t hash(std::string_view text) const;
    bool accuse(std::string_view request, std::string_view target,
                time_point now);
    void extend_hold(entry& held, time_point now) const;
    void make_room(time_point now);

    std::uint64_t key_;
    std::unordered_map<std::uint64_t, entry> entries_; ///< by hashed request
    std::vector<lost_connection> pending_;
};

} // namespace vanillapost

#endif
