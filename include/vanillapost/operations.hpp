#ifndef VANILLAPOST_OPERATIONS_HPP
#define VANILLAPOST_OPERATIONS_HPP

/// Umbrella header of the operations module: writing to the platform's table
/// on an operator's behalf, and saying what a write changes.

#include "src/operations/record_change.hpp"
#include "src/operations/record_difference.hpp"
#include "src/operations/retry_delay.hpp"
#include "src/operations/settled_write.hpp"
#include "src/operations/write_author.hpp"

#endif
