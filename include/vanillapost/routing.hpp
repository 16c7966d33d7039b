#ifndef VANILLAPOST_ROUTING_HPP
#define VANILLAPOST_ROUTING_HPP

/// Umbrella header of the routing module: the choice of a target, of a peer to
/// forward to, and of the addresses that callers are told.

#include "src/routing/address_advisor.hpp"
#include "src/routing/latency_tracker.hpp"
#include "src/routing/peer_picker.hpp"
#include "src/routing/placement_policy.hpp"
#include "src/routing/target_picker.hpp"

#endif
