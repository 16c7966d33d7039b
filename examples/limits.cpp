// A held target in cold start: its limit rises with completed work and falls
// back at the first sign of cold.
#include "vanillapost/limits.hpp"

#include <iostream>

using namespace vanillapost;
using namespace std::chrono_literals;

int main()
{
    target_limiter limiter({.slots = 4, .cold_slots = 1, .good_per_level = 2});
    time_point now{};
    const slot_share share{
        .usable = 4, .half = 2, .exclusive_until = now + 1min};
    for (int i = 0; i < 8; ++i) {
        std::cout << "limit " << limiter.limit(now, share) << '\n';
        const auto first = limiter.try_acquire(now, share, now + 100ms);
        const auto second = limiter.try_acquire(now, share, now + 100ms);
        now += 10ms;
        for (const auto& ticket : {first, second}) {
            if (ticket)
                limiter.finish(*ticket, now, completion::good,
                               target_state::warm);
        }
    }
    limiter.on_state(target_state::cold);
    std::cout << "after a cold answer " << limiter.limit(now, share) << '\n';
}
