#include "vanillapost/src/placement/cold_share.hpp"

#include <algorithm>
#include <cstdint>
#include <xxhash.h>

namespace vanillapost {

namespace {

/// Keeps the owners' sum under the rate although timers fire late and early.
constexpr double spacing_margin = 1.05;
constexpr double lowest_rate = 0.1; ///< per second, where none is configured
constexpr double micros_per_second = 1e6;

struct ranked
{
    bool remote;
    std::uint64_t weight;
    const owner_candidate* candidate;
};

duration spacing(double per_second)
{
    const double rate = std::max(per_second, lowest_rate);
    return duration(static_cast<duration::rep>(
        micros_per_second * spacing_margin *
        static_cast<double>(cold_owner_count) / rate));
}

} // namespace

std::vector<entry_id> cold_owners(const target_id& target,
                                  const data_centre_id& data_centre,
                                  std::span<const owner_candidate> members)
{
    std::vector<ranked> order;
    for (const auto& member : members) {
        const auto text = target.value + '\n' + member.name.value;
        order.push_back({member.data_centre != data_centre,
                         XXH64(text.data(), text.size(), 0), &member});
    }
    std::ranges::sort(order, [](const ranked& one, const ranked& other) {
        if (one.remote != other.remote)
            return !one.remote;
        return one.weight > other.weight;
    });
    std::vector<entry_id> owners;
    for (const auto& each : order) {
        if (owners.size() == cold_owner_count)
            break;
        owners.push_back(each.candidate->name);
    }
    return owners;
}

bool cold_pacer::may_send(double per_second, time_point now) const
{
    return !last_ || now >= next(per_second);
}

void cold_pacer::on_sent(time_point now)
{
    last_ = now;
}

time_point cold_pacer::next(double per_second) const
{
    return last_ ? *last_ + spacing(per_second) : time_point{};
}

} // namespace vanillapost
