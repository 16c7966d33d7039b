#ifndef VANILLAPOST_APPS_ENTRY_STATUS_BUDGET_HPP
#define VANILLAPOST_APPS_ENTRY_STATUS_BUDGET_HPP

#include "vanillapost/base.hpp"

#include <cstddef>

namespace vanillapost::entry {

/// Bounds the bytes a second that status messages to all peers take, so that
/// the rate falls as the number of peers grows.
class status_budget
{
public:
    /// Whether all that was sent has been paid for.
    bool has_room(time_point now);

    /// Takes the cost of a message. It may be more than there is: what follows
    /// then waits for longer.
    void spend(std::size_t bytes, time_point now);

private:
    void refill(time_point now);

    double bytes_ = 0;
    time_point refilled_at_{};
};

} // namespace vanillapost::entry

#endif
