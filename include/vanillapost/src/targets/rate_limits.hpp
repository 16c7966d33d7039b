#ifndef VANILLAPOST_SRC_TARGETS_RATE_LIMITS_HPP
#define VANILLAPOST_SRC_TARGETS_RATE_LIMITS_HPP

#include "../base/time.hpp"
#include "detail/bounded_start_map.hpp"
#include "versioned_rate_limit.hpp"

namespace vanillapost {

/// How an announcement changed the rate limit of a target.
enum class rate_limit_change
{
    none,
    named,   ///< there was no limit before
    changed, ///< there was another limit before
    ended
};

/// The rates that targets accept from all instances together, as one instance
/// knows them.
///
/// A target announces its limit only in responses, so instances exchange the
/// limits. An instance to which a target announces a change raises the version,
/// and a higher version replaces a lower one: all instances converge even if
/// messages are lost, late or duplicated. Of equal versions, the lower limit
/// wins. An instance that receives a known limit again does not pass it on.
///
/// A limit belongs to one start of its target and holds until that start
/// announces another one or its end; it does not expire.
class rate_limits
{
public:
    /// Takes over what a target announced in a response.
    /// \param per_second  nullopt if the response contains no limit
    /// \param asked_at    time at which the request was sent. A response to a
    ///                    request sent before the limit was known here does
    ///                    not end the limit
    rate_limit_change on_announced(const target_id& id,
                                   std::int64_t start_unix_ms,
                                   std::optional<double> per_second,
                                   time_point asked_at, time_point now);

    /// Takes over a limit that a peer knows.
    /// \return whether it was new
    bool merge(const versioned_rate_limit& received, time_point now);

    /// The limit of that start, if it has one.
    std::optional<double> find(const target_id& id,
                               std::int64_t start_unix_ms) const;

    /// The next limits to send to a peer. Successive calls go through all
    /// limits and then start again with the first.
    /// \param max_bytes  approximate size in a message; at least one limit is
    ///                   returned, even if it is larger
    std::vector<versioned_rate_limit> next_batch(std::size_t max_bytes,
                                                 time_point now);

    /// What is known of a target, in the form that peers exchange.
    std::optional<versioned_rate_limit>
    find_versioned(const target_id& id) const;

    /// All limits, for an instance that knows none.
    std::vector<versioned_rate_limit> all() const;

    std::size_t size() const
    {
        return limits_.all().size();
    }

    static constexpr std::size_t max_targets = 20'000;

    /// How long an ended limit is kept, so that peers learn of its end.
    static constexpr duration tombstone_lifetime = std::chrono::seconds(30);

private:
    struct start_state
    {
        std::int64_t start_unix_ms = -1;
        std::uint64_t version = 0;
        std::optional<double> per_second;
        time_point since{}; ///< when this instance learned of it

        std::int64_t latest_start() const
        {
            return start_unix_ms;
        }
    };

    static bool replaces(const versioned_rate_limit& received,
                         const start_state& known);
    void purge_ended(time_point now);

    detail::bounded_start_map<start_state, max_targets> limits_;
    target_id last_sent_;
};

} // namespace vanillapost

#endif
