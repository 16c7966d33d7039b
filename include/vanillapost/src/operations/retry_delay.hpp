#ifndef VANILLAPOST_SRC_OPERATIONS_RETRY_DELAY_HPP
#define VANILLAPOST_SRC_OPERATIONS_RETRY_DELAY_HPP

#include "../base/random.hpp"
#include "../base/time.hpp"

namespace vanillapost {

/// Bounds on how long the platform is tried.
struct retry_limits
{
    int attempts = 6; ///< of one call
    duration first_delay = std::chrono::milliseconds(100);
    duration longest_delay = std::chrono::seconds(2);
};

/// Exponential delay before the next attempt.
///
/// Half of it is random, so that clients who all saw the platform fail do not
/// return to it at once.
///
/// \param waits  how often this call has waited before
duration retry_delay(const retry_limits& limits, int waits,
                     random_engine& random);

} // namespace vanillapost

#endif
