#ifndef VANILLAPOST_TARGETS_HPP
#define VANILLAPOST_TARGETS_HPP

/// Umbrella header of the targets module, which tracks the targets in the
/// platform's list.

#include "src/targets/departure_tracker.hpp"
#include "src/targets/listed_target.hpp"
#include "src/targets/rate_limits.hpp"
#include "src/targets/reach_detector.hpp"
#include "src/targets/target_catalog.hpp"
#include "src/targets/versioned_rate_limit.hpp"

#endif
