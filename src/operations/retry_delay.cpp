#include "vanillapost/src/operations/retry_delay.hpp"

#include <algorithm>
#include <random>

namespace vanillapost {

duration retry_delay(const retry_limits& limits, int waits,
                     random_engine& random)
{
    constexpr int most_doublings = 16;
    const int doublings = std::min(waits, most_doublings);
    const auto longest =
        std::min(limits.longest_delay, limits.first_delay * (1 << doublings));
    std::uniform_int_distribution<duration::rep> spread(longest.count() / 2,
                                                        longest.count());
    return duration(spread(random));
}

} // namespace vanillapost
