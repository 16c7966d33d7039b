#ifndef VANILLAPOST_RETRY_HPP
#define VANILLAPOST_RETRY_HPP

/// Umbrella header of the retry module: retry budget, retry decision and
/// hedging.

#include "src/retry/hedge_policy.hpp"
#include "src/retry/retry_budget.hpp"
#include "src/retry/retry_policy.hpp"

#endif
