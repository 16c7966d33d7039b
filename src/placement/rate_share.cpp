#include "vanillapost/src/placement/rate_share.hpp"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace vanillapost {

namespace {

constexpr double min_owners = 2;
/// More than the instances of any cluster.
constexpr double max_owners = 10'000;
/// Keeps the sum of the owners' requests under the rate although timers fire
/// late or early.
constexpr double spacing_margin = 1.05;
/// Requests a second that a target gets at least, even if its limit is lower or
/// zero: only its responses tell when it accepts more again.
constexpr double min_rate = 0.25;
constexpr double us_per_second = 1e6;

struct ranked
{
    bool remote;
    std::uint64_t weight;
    const owner_candidate* candidate;
};

} // namespace

std::size_t rate_owner_count(double per_second)
{
    const double wanted =
        std::clamp(std::floor(per_second), min_owners, max_owners);
    return static_cast<std::size_t>(wanted);
}

std::vector<entry_id> rate_owners(const target_id& target,
                                  const data_centre_id& data_centre,
                                  std::span<const owner_candidate> members,
                                  std::size_t count)
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
        if (owners.size() == count)
            break;
        owners.push_back(each.candidate->name);
    }
    return owners;
}

duration rate_share::interval(double per_second) const
{
    const double rate = std::max(per_second, min_rate);
    const auto owners = static_cast<double>(owner_count_);
    return duration(static_cast<duration::rep>(us_per_second * spacing_margin *
                                               owners / rate));
}

std::optional<time_point>
rate_share::next_send_time(const target_id& target,
                           const data_centre_id& data_centre, double per_second,
                           const rate_owner_view& view, time_point now)
{
    const auto count = rate_owner_count(per_second);
    if (view_version_ != view.version || requested_owner_count_ != count)
        update_owners(target, data_centre, count, view, now);
    if (!is_owner_)
        return std::nullopt;
    return interval_start_ ? *interval_start_ + interval(per_second) : now;
}

void rate_share::update_owners(const target_id& target,
                               const data_centre_id& data_centre,
                               std::size_t count, const rate_owner_view& view,
                               time_point now)
{
    const auto owners = rate_owners(target, data_centre, view.members, count);
    const bool owns = std::ranges::find(owners, view.self) != owners.end();
    // While this instance joins, targets that are new to it are not new to
    // others, which have owned them until now or are about to.
    const bool is_known = view_version_ != 0 || now < view.joining_until;
    const bool takes_over = is_known && owns && !is_owner_;
    if (takes_over)
        start_interval(now);
    is_owner_ = owns;
    view_version_ = view.version;
    requested_owner_count_ = count;
    owner_count_ = std::max<std::size_t>(owners.size(), 1);
}

} // namespace vanillapost
