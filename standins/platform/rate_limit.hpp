#ifndef VANILLAPOST_STANDINS_PLATFORM_RATE_LIMIT_HPP
#define VANILLAPOST_STANDINS_PLATFORM_RATE_LIMIT_HPP

#include <algorithm>
#include <optional>
#include <vanillapost/base.hpp>

namespace vanillapost::standin {

/// Serves a given number of operations a second: more of them wait, and are
/// refused once the wait would be too long.
class rate_limit
{
public:
    explicit rate_limit(int per_second)
        : interval_(std::chrono::microseconds(std::chrono::seconds(1)) /
                    std::max(per_second, 1))
    {
    }

    /// How long the operation waits, or nothing when it is refused.
    std::optional<duration> admit(time_point now)
    {
        const auto start = std::max(next_, now - max_burst);
        const auto wait = std::max(start - now, duration(0));
        if (wait > max_wait)
            return std::nullopt;
        next_ = start + interval_;
        return wait;
    }

private:
    static constexpr duration max_burst = std::chrono::milliseconds(100);
    static constexpr duration max_wait = std::chrono::milliseconds(500);

    duration interval_;
    time_point next_{};
};

} // namespace vanillapost::standin

#endif
