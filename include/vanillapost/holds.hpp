#ifndef VANILLAPOST_HOLDS_HPP
#define VANILLAPOST_HOLDS_HPP

/// Umbrella header of the holds module: which entry may send work to which
/// target, and how much of the target's limit it may use.

#include "src/holds/assignment.hpp"
#include "src/holds/confirmation.hpp"
#include "src/holds/heartbeat_row.hpp"
#include "src/holds/heartbeat_watch.hpp"
#include "src/holds/hold_action.hpp"
#include "src/holds/hold_controller.hpp"
#include "src/holds/hold_row.hpp"
#include "src/holds/hold_settings.hpp"
#include "src/holds/hold_share.hpp"
#include "src/holds/hold_table.hpp"
#include "src/holds/hold_target.hpp"
#include "src/holds/hold_write.hpp"
#include "src/holds/promise_book.hpp"
#include "src/holds/takeover_rule.hpp"

#endif
