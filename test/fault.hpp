#ifndef VANILLAPOST_TEST_FAULT_HPP
#define VANILLAPOST_TEST_FAULT_HPP

#include "vanillapost/base.hpp"

namespace vanillapost::test {

/// What may go wrong, from a point of time on and for a length of time.
struct fault
{
    enum class kind
    {
        kill,
        restart, ///< kill, and a new incarnation after `length`
        freeze,
        cut_platform,
        cut_peers,
        cut_both,
        outage,       ///< the platform, for all
        lose_answers, ///< writes take effect, for all
        delay_writes, ///< writes take effect after the caller gave up
        freeze_list,
        leave,
        late_sends, ///< requests reach their target late
        count
    };

    kind what{};
    int entry = 0;
    duration at{};
    duration length{};
};

} // namespace vanillapost::test

#endif
