#ifndef VANILLAPOST_SRC_PLACEMENT_DETAIL_CANDIDATE_HPP
#define VANILLAPOST_SRC_PLACEMENT_DETAIL_CANDIDATE_HPP

#include "../placement_request.hpp"
#include "../placement_settings.hpp"
#include "placed_target.hpp"

#include <span>
#include <vector>

namespace vanillapost::detail {

/// A target that may get a request, with what that would cost.
struct candidate
{
    placed_target* target;
    double cost;     ///< µs until the answer is complete, with all risks
    double expected; ///< µs until the answer is complete
    bool full;
    bool crowded; ///< full, or slowed down for the others by one more
    bool measured;
};

candidate assess(placed_target& each, const placement_request& request,
                 const placement_settings& settings, time_point now);

/// By how much work takes longer on a target with the requests that it has.
double current_factor(const placed_target& each,
                      const placement_settings& settings, time_point now);

/// A target that fails at once always has room. Waiting for another one is
/// better, unless all fail.
void drop_failing(std::vector<candidate>& order, time_point now);

/// Leaves those of the data centre where enough of them have room.
void drop_remote(std::vector<candidate>& order,
                 const placement_settings& settings);

/// With little room left, a request that would be late takes a slot from one
/// that could still be in time.
bool has_plenty_of_room(std::span<const candidate> order,
                        const placement_settings& settings);

/// A request that crowds a target slows the others there, or waits behind them:
/// that is worth it only if it is still done in time, and if the target gets
/// more done in all.
bool may_crowd(const candidate& each, const placement_effort& effort,
               const placement_settings& settings, time_point now);

/// The likely best targets, where what is known of them is old. A second round
/// follows only while a target not probed yet looks much better.
/// \param order  the best first, at least one
std::vector<target_id> worth_measuring(std::span<const candidate> order,
                                       const placement_settings& settings);

} // namespace vanillapost::detail

#endif
