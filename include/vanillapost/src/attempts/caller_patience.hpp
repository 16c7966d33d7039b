#ifndef VANILLAPOST_SRC_ATTEMPTS_CALLER_PATIENCE_HPP
#define VANILLAPOST_SRC_ATTEMPTS_CALLER_PATIENCE_HPP

#include "../base/time.hpp"

#include <cstddef>
#include <deque>
#include <map>

namespace vanillapost {

/// Learns with how much time callers of a route set out, and so tells from
/// the time that a request has left how long its caller has waited already.
///
/// Pattern it answers: in an overload refused callers come back beside new
/// ones. Who cannot be answered within the latency objective any more must
/// not take the slot of one who can.
class caller_patience
{
public:
    /// \param left  time that a caller gives a request
    void observe(duration left);

    /// How long the caller of a request with that time left has waited
    /// before; zero while it is not known with how much time callers set out.
    duration waited(duration left) const;

private:
    std::deque<duration> recent_;
    std::map<duration, std::size_t> counts_; ///< of `recent_`
};

} // namespace vanillapost

#endif
