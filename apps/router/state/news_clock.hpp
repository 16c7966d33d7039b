#ifndef VANILLAPOST_APPS_ROUTER_STATE_NEWS_CLOCK_HPP
#define VANILLAPOST_APPS_ROUTER_STATE_NEWS_CLOCK_HPP

#include "vanillapost/base.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace vanillapost::router {

/// Since when changes of one table exist, as far as this instance was told,
/// and with it how late it is.
class news_clock
{
public:
    /// A change of that revision existed then.
    void note(std::uint64_t revision, time_point at);

    /// Since when a change exists that is newer than `known`, if one does.
    std::optional<time_point> missing_since(std::uint64_t known) const;

    /// How long ago a change of that revision, or of the next one that is
    /// noted, came to exist; zero when none is noted.
    duration age(std::uint64_t revision, time_point now) const;

    /// The newest change that is known to exist.
    std::uint64_t newest() const
    {
        return marks_.empty() ? 0 : marks_.rbegin()->first;
    }

    static constexpr std::size_t max_marks = 512;

private:
    std::map<std::uint64_t, time_point> marks_; ///< by revision
};

} // namespace vanillapost::router

#endif
