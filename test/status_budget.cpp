#include "status_budget.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace vanillapost;

// The bound comes from the target of 6 KB/s for all control of an instance, of
// which status messages may take half.
RC_GTEST_PROP(status_budget, bytes_stay_within_the_target, ())
{
    constexpr double most_bytes_per_second = 3000;
    constexpr int largest_message = 20'000;
    entry::status_budget budget;
    time_point now{std::chrono::seconds(1)};
    const auto start = now;
    double sent = 0;
    const auto steps = *rc::gen::inRange(1, 500);
    for (int i = 0; i < steps; ++i) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 500));
        if (!budget.has_room(now))
            continue;
        const int bytes = *rc::gen::inRange(1, largest_message);
        budget.spend(static_cast<std::size_t>(bytes), now);
        sent += bytes;
    }
    const double seconds = std::chrono::duration<double>(now - start).count();
    RC_ASSERT(sent <= most_bytes_per_second * (seconds + 1) + largest_message);
}
