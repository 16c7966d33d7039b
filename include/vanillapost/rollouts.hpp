#ifndef VANILLAPOST_ROLLOUTS_HPP
#define VANILLAPOST_ROLLOUTS_HPP

/// Umbrella header of the rollouts module, which decides how the requests of
/// a service are moved to targets of another version, and when to turn back.

#include "src/rollouts/rollout_directive.hpp"
#include "src/rollouts/rollout_evidence.hpp"
#include "src/rollouts/rollout_judge.hpp"
#include "src/rollouts/rollout_order.hpp"
#include "src/rollouts/rollout_plan.hpp"
#include "src/rollouts/version_counts.hpp"
#include "src/rollouts/version_split.hpp"

#endif
