#ifndef VANILLAPOST_APPS_ROUTER_STATE_OUTAGE_WATCH_HPP
#define VANILLAPOST_APPS_ROUTER_STATE_OUTAGE_WATCH_HPP

#include "vanillapost/base.hpp"

namespace vanillapost::router {

/// Tells an outage of the store from one that it turns this instance away.
///
/// Pattern it answers: entries of targets lapse while the store is away, and
/// their removals are held back then. While the store only turns some instances
/// away it goes on taking changes, which others pass on; a removal is one then.
class outage_watch
{
public:
    /// Changes came, from the store or a peer.
    void on_news(time_point now)
    {
        news_at_ = now;
    }

    /// Whether the store may have been away, for an instance that did not get
    /// an answer of it: nobody has heard of a change for a while.
    bool may_be_outage(time_point now) const
    {
        return now - news_at_ >= shortest_outage;
    }

    /// In a shorter one no entry lapses.
    static constexpr duration shortest_outage = std::chrono::seconds(1);

private:
    time_point news_at_{};
};

} // namespace vanillapost::router

#endif
