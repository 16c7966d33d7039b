#ifndef VANILLAPOST_BASE_HPP
#define VANILLAPOST_BASE_HPP

/// Umbrella header of the base module: time, errors, identifiers and
/// random numbers that the other modules share.

#include "src/base/duration_text.hpp"
#include "src/base/error.hpp"
#include "src/base/identifier.hpp"
#include "src/base/number_text.hpp"
#include "src/base/random.hpp"
#include "src/base/store_revision.hpp"
#include "src/base/text_check.hpp"
#include "src/base/time.hpp"

#endif
