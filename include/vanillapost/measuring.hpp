#ifndef VANILLAPOST_MEASURING_HPP
#define VANILLAPOST_MEASURING_HPP

/// Umbrella header of the measuring module: when targets are probed, and what
/// a probe's result is worth.

#include "src/measuring/probe_judge.hpp"
#include "src/measuring/probe_schedule.hpp"

#endif
