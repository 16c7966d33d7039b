#ifndef VANILLAPOST_IDEMPOTENCY_HPP
#define VANILLAPOST_IDEMPOTENCY_HPP

/// Umbrella header of the idempotency module: claims on idempotency keys, which
/// ensure that a booking runs at most once.

#include "src/idempotency/claim_action.hpp"
#include "src/idempotency/claim_row.hpp"
#include "src/idempotency/idempotency_claim.hpp"

#endif
