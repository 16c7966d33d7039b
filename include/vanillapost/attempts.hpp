#ifndef VANILLAPOST_ATTEMPTS_HPP
#define VANILLAPOST_ATTEMPTS_HPP

/// Umbrella header of the attempts module: what to do after an attempt at a
/// target, and how many retries a service may get.

#include "src/attempts/attempt_outcome.hpp"
#include "src/attempts/attempt_tracker.hpp"
#include "src/attempts/caller_wait_estimator.hpp"
#include "src/attempts/crash_report.hpp"
#include "src/attempts/crash_suspects.hpp"
#include "src/attempts/retry_after_estimate.hpp"
#include "src/attempts/retry_budget.hpp"
#include "src/attempts/run_state.hpp"
#include "src/attempts/shutdown_plan.hpp"

#endif
