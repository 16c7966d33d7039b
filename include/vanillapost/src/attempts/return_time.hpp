#ifndef VANILLAPOST_SRC_ATTEMPTS_RETURN_TIME_HPP
#define VANILLAPOST_SRC_ATTEMPTS_RETURN_TIME_HPP

#include "../base/time.hpp"

namespace vanillapost {

/// When a request that was refused is worth sending again.
struct return_estimate
{
    duration wait = std::chrono::milliseconds(150);
    /// Nothing can be served before that; else `wait` is a mean.
    bool is_earliest = false;
};

/// What the caller is told, spread so that callers do not come back together:
/// around a mean from half of it to one and a half, behind an earliest time
/// over half as much again.
/// \param share  drawn from 0 to 1
duration spread_return(const return_estimate& estimate, double share);

} // namespace vanillapost

#endif
