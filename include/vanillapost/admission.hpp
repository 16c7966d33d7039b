#ifndef VANILLAPOST_ADMISSION_HPP
#define VANILLAPOST_ADMISSION_HPP

/// Umbrella header of the admission module: bounded queues ordered by
/// deadline, and refusal of what cannot be served in time.

#include "src/admission/admission_queue.hpp"
#include "src/admission/drain_meter.hpp"
#include "src/admission/waiting_queue.hpp"
#include "src/admission/waiting_request.hpp"

#endif
