#include "status_budget.hpp"

#include <algorithm>

namespace vanillapost::entry {

namespace {

constexpr double bytes_per_second = 3000;
constexpr double largest_burst_bytes = 3000;

} // namespace

void status_budget::refill(time_point now)
{
    const double seconds =
        std::chrono::duration<double>(now - refilled_at_).count();
    bytes_ = std::min(largest_burst_bytes, bytes_ + seconds * bytes_per_second);
    refilled_at_ = now;
}

bool status_budget::try_spend(std::size_t bytes, time_point now)
{
    refill(now);
    if (bytes_ < static_cast<double>(bytes))
        return false;
    bytes_ -= static_cast<double>(bytes);
    return true;
}

void status_budget::spend(std::size_t bytes, time_point now)
{
    refill(now);
    // Goes below zero: later messages wait until this one is paid for.
    bytes_ -= static_cast<double>(bytes);
}

} // namespace vanillapost::entry
