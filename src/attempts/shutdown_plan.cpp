#include "vanillapost/src/attempts/shutdown_plan.hpp"

#include <algorithm>

namespace vanillapost {

namespace {

using namespace std::chrono_literals;

/// Fraction of the grace period in which connections are accepted.
constexpr double accepting_share = 0.42;
/// From the exit to the end of the grace period, when the process is killed.
constexpr duration exit_margin = 400ms;
/// In which final answers are written out before the exit.
constexpr duration writing_time = 100ms;
/// Work on a slow target, as a multiple of that on an idle one.
constexpr double slow_target_factor = 4;

} // namespace

shutdown_plan::shutdown_plan(time_point began, duration grace_period)
    : accepts_until_(began + scaled(grace_period, accepting_share)),
      answers_until_(began +
                     std::max(grace_period - exit_margin - writing_time, 0us)),
      exits_at_(began + std::max(grace_period - exit_margin, 0us))
{
}

bool shutdown_plan::admits(time_point now, const late_request& request) const
{
    const auto left = answers_until_ - now;
    if (now < accepts_until_ && now < answers_until_)
        return true;
    if (request.time_limit <= left)
        return true;
    if (request.has_peers || !request.repeatable)
        return false;
    return scaled(request.expected_work, slow_target_factor) <= left;
}

} // namespace vanillapost
