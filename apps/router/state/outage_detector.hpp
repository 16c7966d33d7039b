#ifndef VANILLAPOST_APPS_ROUTER_STATE_OUTAGE_DETECTOR_HPP
#define VANILLAPOST_APPS_ROUTER_STATE_OUTAGE_DETECTOR_HPP

#include "vanillapost/base.hpp"

namespace vanillapost::router {

/// Distinguishes an outage of the store from a store that refuses only this
/// instance.
///
/// During an outage the targets' entries in the store expire, so the removals
/// that follow from it are held back. A store that refuses only some instances
/// still accepts changes, which the other instances relay; a removal among
/// these is a real one.
class outage_detector
{
public:
    /// Has to be called when changes arrive, from the store or from a peer.
    void on_change_received(time_point now)
    {
        last_change_at_ = now;
    }

    /// Whether the store may be down, for an instance that gets no answer from
    /// it: no change has arrived for `shortest_outage`, from peers either.
    bool may_be_outage(time_point now) const
    {
        return now - last_change_at_ >= shortest_outage;
    }

    /// In a shorter outage no entry expires.
    static constexpr duration shortest_outage = std::chrono::seconds(1);

private:
    time_point last_change_at_{};
};

} // namespace vanillapost::router

#endif
