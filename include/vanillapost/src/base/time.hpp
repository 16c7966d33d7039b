#ifndef VANILLAPOST_SRC_BASE_TIME_HPP
#define VANILLAPOST_SRC_BASE_TIME_HPP

#include <chrono>
#include <cstdint>

namespace vanillapost {

/// Resolution of every time in the library.
using duration = std::chrono::microseconds;

/// Tag of the monotonic time that callers hand to the library.
///
/// It has no `now()`: the library never reads a clock itself.
struct monotonic_clock
{
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

/// A point on one process's monotonic time line; never sent to a peer.
using time_point = monotonic_clock::time_point;

/// A part or a multiple of a time.
constexpr duration scaled(duration value, double factor)
{
    return duration(static_cast<duration::rep>(
        static_cast<double>(value.count()) * factor));
}

} // namespace vanillapost

#endif
