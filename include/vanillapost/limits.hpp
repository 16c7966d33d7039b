#ifndef VANILLAPOST_LIMITS_HPP
#define VANILLAPOST_LIMITS_HPP

/// Umbrella header of the limits module: how many requests a held target may
/// have in flight, its cold start, and the deadline that each may carry.

#include "src/limits/cold_ramp.hpp"
#include "src/limits/slot_share.hpp"
#include "src/limits/target_limiter.hpp"

#endif
