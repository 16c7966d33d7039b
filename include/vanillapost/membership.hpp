#ifndef VANILLAPOST_MEMBERSHIP_HPP
#define VANILLAPOST_MEMBERSHIP_HPP

/// Umbrella header of the membership module: which entries live, and which
/// processes are known to have ended.

#include "src/membership/instance_list.hpp"
#include "src/membership/liveness.hpp"

#endif
