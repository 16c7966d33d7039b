#include "vanillapost/src/io/detail/connection_pressure.hpp"

#include <algorithm>
#include <numeric>

namespace vanillapost::io::detail {

namespace {

using namespace std::chrono_literals;

/// A request that has begun to come is whole after this time, unless its client
/// or the way to it is slow.
constexpr duration reading_grace = 1s;
/// Added to each wait, so that bytes count also for one that has just begun.
constexpr duration least_wait = 1s;

duration wait_of(const client_hold& hold, time_point now)
{
    return std::max(now - hold.since, duration::zero());
}

// In bytes times seconds.
double cost_of(const client_hold& hold, time_point now)
{
    const std::chrono::duration<double> wait = wait_of(hold, now) + least_wait;
    return static_cast<double>(hold.bytes) * wait.count();
}

bool waits_for_system(const client_hold& hold)
{
    return hold.state == client_state::working;
}

// The lower, the sooner it is closed for another one.
int rank_for_place(const client_hold& hold, time_point now)
{
    const bool is_slow = hold.state == client_state::reading &&
                         wait_of(hold, now) > reading_grace;
    if (is_slow)
        return 0;
    return hold.state == client_state::idle ? 1 : 2;
}

} // namespace

std::vector<std::size_t> select_for_bytes(std::span<const client_hold> holds,
                                          std::size_t bytes_to_free,
                                          time_point now)
{
    std::vector<std::size_t> order(holds.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::erase_if(order, [&](auto i) { return holds[i].bytes == 0; });
    std::ranges::sort(order, [&](auto one, auto other) {
        const auto& a = holds[one];
        const auto& b = holds[other];
        if (waits_for_system(a) != waits_for_system(b))
            return waits_for_system(b);
        return cost_of(a, now) > cost_of(b, now);
    });
    std::size_t freed = 0;
    std::size_t count = 0;
    while (count < order.size() && freed < bytes_to_free)
        freed += holds[order[count++]].bytes;
    order.resize(count);
    return order;
}

std::optional<std::size_t> select_for_place(std::span<const client_hold> holds,
                                            time_point now)
{
    std::optional<std::size_t> best;
    const auto is_before = [&](const client_hold& a, const client_hold& b) {
        const int rank_a = rank_for_place(a, now);
        const int rank_b = rank_for_place(b, now);
        return rank_a != rank_b ? rank_a < rank_b : a.since < b.since;
    };
    for (std::size_t i = 0; i < holds.size(); ++i) {
        if (waits_for_system(holds[i]))
            continue;
        if (!best || is_before(holds[i], holds[*best]))
            best = i;
    }
    return best;
}

} // namespace vanillapost::io::detail
