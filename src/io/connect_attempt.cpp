#include "vanillapost/src/io/detail/connect_attempt.hpp"

#include <cerrno>
#include <utility>

namespace vanillapost::io::detail {

connect_attempt::connect_attempt(event_loop& loop, const address& peer,
                                 duration timeout, handler done)
    : done_(std::move(done))
{
    auto where = to_socket_address(peer);
    stream_.reset(
        bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE));
    timeval limit = to_timeval(timeout);
    bufferevent_set_timeouts(stream_.get(), nullptr, &limit);
    // Callbacks come last: a failure within this call is reported later.
    int failed =
        bufferevent_socket_connect(stream_.get(), where.get(), where.length);
    bufferevent_setcb(stream_.get(), nullptr, nullptr, &handle_event, this);
    if (failed)
        bufferevent_trigger_event(stream_.get(), BEV_EVENT_ERROR,
                                  BEV_TRIG_DEFER_CALLBACKS);
    else
        refused_at_once_ = is_refused_at_once(bufferevent_getfd(stream_.get()));
}

void connect_attempt::handle_event(bufferevent*, short what, void* self)
{
    static_cast<connect_attempt*>(self)->end(what);
}

void connect_attempt::end(short what)
{
    int reason = EVUTIL_SOCKET_ERROR();
    auto done = std::exchange(done_, nullptr);
    if (!done)
        return;
    if (what & BEV_EVENT_CONNECTED) {
        set_no_delay(bufferevent_getfd(stream_.get()));
        bufferevent_set_timeouts(stream_.get(), nullptr, nullptr);
        bufferevent_setcb(stream_.get(), nullptr, nullptr, nullptr, nullptr);
        return done(connect_result::connected, std::move(stream_));
    }
    bool refused = (what & BEV_EVENT_ERROR) &&
                   (refused_at_once_ || reason == ECONNREFUSED);
    done(refused ? connect_result::refused : connect_result::failed,
         bufferevent_ptr(nullptr, &bufferevent_free));
}

} // namespace vanillapost::io::detail
