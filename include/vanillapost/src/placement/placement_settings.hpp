#ifndef VANILLAPOST_SRC_PLACEMENT_PLACEMENT_SETTINGS_HPP
#define VANILLAPOST_SRC_PLACEMENT_PLACEMENT_SETTINGS_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"

#include <cstddef>

namespace vanillapost {

/// How an instance chooses targets.
struct placement_settings
{
    data_centre_id data_centre; ///< of this instance
    entry_id self;
    /// A report older than this is asked for anew before a request is placed.
    duration fresh_report = std::chrono::milliseconds(30);
    /// A target that was not probed for so long may have turned cold.
    duration fresh_probe = std::chrono::milliseconds(400);
    /// A target that drains or is cold is asked again after this time.
    duration recheck = std::chrono::seconds(1);
    /// When a target turns cold, work that instances sent before they knew may
    /// go on there, unseen in reports that mislead: it gets no more meanwhile.
    duration cold_settling = std::chrono::seconds(1);
    std::size_t probes_per_round = 3;
    int probe_rounds = 2;
    /// Requests that a target may have waiting, for each slot.
    double queue_per_slot = 1;
    /// What a round trip to another data centre adds.
    duration remote_delay = std::chrono::milliseconds(4);
    /// What a KiB from another data centre costs, as time that a caller would
    /// wait to save it.
    duration remote_delay_per_kib = std::chrono::milliseconds(5);
    /// With so many targets of its own data centre that have room, a request
    /// stays there: one of them is as good as any, and bytes between data
    /// centres cost money.
    std::size_t enough_local = 8;
    /// Use of slots above which a target slows down, and by how much.
    double knee_use = 0.8;
    double knee_factor = 1.7;
    /// Part of the targets that has to have a slot free for a request to be
    /// placed that will be late.
    double plenty_share = 0.5;
    /// What a failed attempt costs, in service times.
    double failure_cost_repeatable = 1.5;
    double failure_cost_once = 6;
};

} // namespace vanillapost

#endif
