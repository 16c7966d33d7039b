#ifndef VANILLAPOST_ATTEMPTS_HPP
#define VANILLAPOST_ATTEMPTS_HPP

/// Umbrella header of the attempts module: what to do after an attempt at a
/// target, and how many retries a service may get.

#include "src/attempts/attempt_ledger.hpp"
#include "src/attempts/attempt_outcome.hpp"
#include "src/attempts/caller_patience.hpp"
#include "src/attempts/repeat_budget.hpp"
#include "src/attempts/return_time.hpp"
#include "src/attempts/run_state.hpp"

#endif
