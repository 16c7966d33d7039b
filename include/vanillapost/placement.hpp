#ifndef VANILLAPOST_PLACEMENT_HPP
#define VANILLAPOST_PLACEMENT_HPP

/// Umbrella header of the placement module, which chooses the target of each
/// request from what responses and probes tell an instance about targets.

#include "src/placement/attempt_progress.hpp"
#include "src/placement/data_centre_exchange.hpp"
#include "src/placement/data_centre_room.hpp"
#include "src/placement/exchange_settings.hpp"
#include "src/placement/load_report.hpp"
#include "src/placement/pause_request.hpp"
#include "src/placement/placement_request.hpp"
#include "src/placement/placement_settings.hpp"
#include "src/placement/rate_limit_request.hpp"
#include "src/placement/rate_share.hpp"
#include "src/placement/round_trip_estimator.hpp"
#include "src/placement/target_placer.hpp"
#include "src/placement/target_status.hpp"

#endif
