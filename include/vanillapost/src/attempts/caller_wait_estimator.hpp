#ifndef VANILLAPOST_SRC_ATTEMPTS_CALLER_WAIT_ESTIMATOR_HPP
#define VANILLAPOST_SRC_ATTEMPTS_CALLER_WAIT_ESTIMATOR_HPP

#include "../base/time.hpp"

#include <cstddef>
#include <deque>
#include <map>

namespace vanillapost {

/// Estimates how long the caller of a request has already waited, from the time
/// left until its deadline and from the timeout with which callers of the route
/// usually start, which it learns.
///
/// In an overload, refused callers return in addition to new ones, and a
/// request that cannot be answered within the latency objective any more must
/// not take the slot of one that can.
class caller_wait_estimator
{
public:
    /// Records one request.
    /// \param left  time left until its deadline
    void observe(duration left);

    /// How long the caller of a request with that time left has already waited;
    /// zero while the timeout that callers start with is unknown.
    duration waited(duration left) const;

private:
    std::deque<duration> recent_;
    std::map<duration, std::size_t> counts_; ///< of the values in `recent_`
};

} // namespace vanillapost

#endif
