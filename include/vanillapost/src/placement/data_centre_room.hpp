#ifndef VANILLAPOST_SRC_PLACEMENT_DATA_CENTRE_ROOM_HPP
#define VANILLAPOST_SRC_PLACEMENT_DATA_CENTRE_ROOM_HPP

#include "../base/identifier.hpp"

#include <cstddef>
#include <limits>

namespace vanillapost {

/// What an instance knows of the targets of a service in one data centre.
struct data_centre_room
{
    data_centre_id data_centre;
    std::size_t listed = 0;   ///< targets that the catalog allows to use
    std::size_t eligible = 0; ///< those of them that the request may use now
    /// Estimated share of the listed targets that are free, by their reports,
    /// old ones having less weight.
    double free_share = 0;
    /// Estimated requests there for each slot; over 1 where requests wait.
    double occupancy = 0;
    double free_slots = 0;  ///< estimated, up to where targets slow down
    bool any_fresh = false; ///< of the eligible ones, one has a recent report
    /// Of the best eligible target: cost and expected time, in µs; cost
    /// contains the way there and what its bytes cost. Infinite if the request
    /// would have to wait at the instance.
    double best_cost = std::numeric_limits<double>::infinity();
    double best_expected = std::numeric_limits<double>::infinity();
};

} // namespace vanillapost

#endif
