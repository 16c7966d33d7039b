#include "vanillapost/src/attempts/retry_budget.hpp"

#include <algorithm>

namespace vanillapost {

namespace {

constexpr int slices_per_window = 20;
/// Instances that may exist per known one, since spare instances can join.
constexpr double growth_reserve = 1.6;
/// Part of its share of the allowance that a process may use before it has run
/// for a whole window.
constexpr double startup_share = 0.5;
/// Keeps the sum below the ratio despite the division of windows into slices.
constexpr double ratio_margin = 0.9;

} // namespace

retry_budget::retry_budget(const retry_budget_settings& settings,
                           time_point start)
    : settings_(settings), start_(start)
{
}

void retry_budget::set_members(std::size_t members)
{
    // Never decreases: instances that are gone may have used their share.
    members_ = std::max(members_, members);
}

void retry_budget::on_request(time_point now)
{
    ++current(now).requests;
}

bool retry_budget::has_room(time_point now, double reserve) const
{
    double requests = 0;
    double sent = 0;
    const duration slice_length = settings_.window / slices_per_window;
    for (const auto& each : slices_) {
        if (each.begin + settings_.window > now)
            requests += each.requests;
        if (each.begin + slice_length + settings_.window > now)
            sent += each.retries;
    }
    double share =
        settings_.allowance / (static_cast<double>(members_) * growth_reserve);
    if (now < start_ + settings_.window)
        share *= startup_share;
    const double room = settings_.ratio * ratio_margin * requests + share;
    return sent + 1 <= room * (1 - reserve);
}

void retry_budget::on_retry(time_point now)
{
    ++current(now).retries;
}

std::size_t retry_budget::retries(time_point now) const
{
    std::size_t sent = 0;
    for (const auto& each : slices_)
        if (each.begin + settings_.window > now)
            sent += static_cast<std::size_t>(each.retries);
    return sent;
}

retry_budget::slice& retry_budget::current(time_point now)
{
    const duration length = settings_.window / slices_per_window;
    if (slices_.empty() || now >= slices_.back().begin + length)
        slices_.push_back({now, 0, 0});
    while (slices_.front().begin + length + settings_.window <= now)
        slices_.pop_front();
    return slices_.back();
}

} // namespace vanillapost
