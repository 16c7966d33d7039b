#ifndef VANILLAPOST_SRC_TARGETS_DEPARTURE_TRACKER_HPP
#define VANILLAPOST_SRC_TARGETS_DEPARTURE_TRACKER_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"
#include "detail/bounded_start_map.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace vanillapost {

/// Tracks which starts of targets have announced that they leave.
///
/// A target that leaves says so in its row and in its responses; the two differ
/// until changes of rows have arrived. The first of these rules that applies
/// decides:
///
/// 1. A start with a later `start_unix_ms` is not affected by what an earlier
///    one has announced.
/// 2. An announcement by the target itself, in a response to this instance,
///    holds for the rest of that start, whatever its row or its health check
///    says.
/// 3. An announcement relayed by a peer holds once for each start, for
///    \ref relayed_departure_lifetime.
/// 4. The state in the row.
///
/// A response without an announcement and a successful health check change
/// nothing. Announcements are kept when the target's row expires, so that a row
/// that comes back does not bring back a target that has left.
class departure_tracker
{
public:
    /// A target has announced in a response that it leaves.
    /// \param start_unix_ms  start time of the target from its row, Unix ms
    /// \return false if that was known
    bool on_announced(const target_id& id, std::int64_t start_unix_ms);

    /// A peer has relayed an announcement. Ignored if the target has announced
    /// it to this instance itself.
    /// \return false if that was known
    bool on_relayed(const target_id& id, std::int64_t start_unix_ms,
                    time_point now);

    /// Whether that start of the target is not to get new requests.
    bool is_leaving(const target_id& id, std::int64_t start_unix_ms,
                    time_point now) const;

    std::size_t size() const
    {
        return starts_.all().size();
    }

    /// How long an announcement relayed by a peer holds. Bounded, since a peer
    /// may be wrong or refer to a start that is over.
    static constexpr duration relayed_departure_lifetime =
        std::chrono::seconds(3);

    /// Bound on memory. Beyond it the earliest starts are evicted, which are
    /// the least likely to be still running.
    static constexpr std::size_t max_targets = 20'000;

private:
    struct start_state
    {
        std::optional<std::int64_t> announced_start;
        std::optional<std::int64_t> relayed_start;
        time_point relayed_until{};

        std::int64_t latest_start() const;
    };

    detail::bounded_start_map<start_state, max_targets> starts_;
};

} // namespace vanillapost

#endif
