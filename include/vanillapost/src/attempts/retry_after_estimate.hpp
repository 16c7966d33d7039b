#ifndef VANILLAPOST_SRC_ATTEMPTS_RETRY_AFTER_ESTIMATE_HPP
#define VANILLAPOST_SRC_ATTEMPTS_RETRY_AFTER_ESTIMATE_HPP

#include "../base/time.hpp"

namespace vanillapost {

/// Estimated time after which a refused request is worth sending again.
struct retry_after_estimate
{
    duration wait = std::chrono::milliseconds(150);
    /// Whether nothing can be served before `wait`. Otherwise `wait` is a mean.
    bool is_earliest = false;
};

/// Time to send to the caller in `Retry-After`, with jitter so that callers do
/// not retry at the same moment: 0.5 to 1.5 times a mean, or 1 to 1.5 times an
/// earliest time, where the added part is at most half of the longest mean.
/// \param share  uniform random number from 0 to 1
duration jitter_retry_after(const retry_after_estimate& estimate, double share);

} // namespace vanillapost

#endif
