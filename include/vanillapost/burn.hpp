#ifndef VANILLAPOST_BURN_HPP
#define VANILLAPOST_BURN_HPP

/// Umbrella header of the burn module: error budget and burn rate of a
/// service.

#include "src/burn/burn_tracker.hpp"
#include "src/burn/burn_window.hpp"

#endif
