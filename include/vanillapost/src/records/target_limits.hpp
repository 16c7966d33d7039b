#ifndef VANILLAPOST_SRC_RECORDS_TARGET_LIMITS_HPP
#define VANILLAPOST_SRC_RECORDS_TARGET_LIMITS_HPP

#include "record_set.hpp"

#include <map>

namespace vanillapost {

/// Slots that each target may use, once the limits of its service and data
/// centre are shared out over their targets.
///
/// The share depends on the records alone, so that every process that has the
/// same records comes to the same numbers and no message is needed to keep a
/// service or data centre within its limit. Targets that take no new work get
/// 0. Slots are given one at a time over the targets by name, while every
/// limit that covers the target has room.
///
/// \see record_set
std::map<target_id, int> share_limits(const record_set& records);

} // namespace vanillapost

#endif
