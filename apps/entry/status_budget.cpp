#include "status_budget.hpp"

#include <algorithm>

namespace vanillapost::entry {

namespace {

constexpr double bytes_per_second = 2000;
constexpr double largest_burst_bytes = 1000;

} // namespace

void status_budget::refill(time_point now)
{
    const double seconds =
        std::chrono::duration<double>(now - refilled_at_).count();
    bytes_ = std::min(largest_burst_bytes, bytes_ + seconds * bytes_per_second);
    refilled_at_ = now;
}

bool status_budget::has_room(time_point now)
{
    refill(now);
    return bytes_ >= 0;
}

void status_budget::spend(std::size_t bytes, time_point now)
{
    refill(now);
    bytes_ -= static_cast<double>(bytes);
}

} // namespace vanillapost::entry
