#ifndef VANILLAPOST_APPS_ROUTER_STATE_REVISION_CLOCK_HPP
#define VANILLAPOST_APPS_ROUTER_STATE_REVISION_CLOCK_HPP

#include "vanillapost/base.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace vanillapost::router {

/// Records since when the revisions of one table exist, as far as this instance
/// was told. From this follows for how long the instance has lacked changes.
class revision_clock
{
public:
    /// Records that a change of this revision existed at `at`. Of several times
    /// for one revision the earliest is kept.
    void note(std::uint64_t revision, time_point at);

    /// The earliest time at which a change newer than `known` existed; nullopt
    /// when no newer change is recorded.
    std::optional<time_point> missing_since(std::uint64_t known) const;

    /// How long ago a change of this revision, or else of the next recorded
    /// one, came to exist; zero when neither is recorded.
    duration age(std::uint64_t revision, time_point now) const;

    /// The newest recorded revision; 0 when there is none.
    std::uint64_t newest() const
    {
        return known_at_.empty() ? 0 : known_at_.rbegin()->first;
    }

    /// When there are more, the oldest revisions are dropped.
    static constexpr std::size_t max_revisions = 512;

private:
    std::map<std::uint64_t, time_point> known_at_; ///< by revision
};

} // namespace vanillapost::router

#endif
