#ifndef VANILLAPOST_SRC_PLACEMENT_DETAIL_ROOM_ESTIMATE_HPP
#define VANILLAPOST_SRC_PLACEMENT_DETAIL_ROOM_ESTIMATE_HPP

#include "../data_centre_exchange.hpp"
#include "candidate.hpp"

#include <optional>
#include <span>
#include <vector>

namespace vanillapost::detail {

/// What is known of a service's targets in each data centre.
/// \param targets     all that may be used
/// \param candidates  those of them that the request may use
std::vector<data_centre_room>
estimate_rooms(std::span<tracked_target* const> targets,
               std::span<const candidate> candidates,
               const placement_options& options,
               const placement_settings& settings, time_point now);

/// Removes targets of other data centres that are not permitted, and adds to
/// the cost of the others what they must be better by.
void keep_permitted(std::vector<candidate>& order,
                    const std::optional<leaving_permit>& permit,
                    const data_centre_id& here, double work_us);

} // namespace vanillapost::detail

#endif
