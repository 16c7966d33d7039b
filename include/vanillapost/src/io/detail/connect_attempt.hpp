#ifndef VANILLAPOST_SRC_IO_DETAIL_CONNECT_ATTEMPT_HPP
#define VANILLAPOST_SRC_IO_DETAIL_CONNECT_ATTEMPT_HPP

#include "../event_loop.hpp"
#include "socket.hpp"

#include <event2/bufferevent.h>
#include <functional>
#include <memory>

namespace vanillapost::io::detail {

using bufferevent_ptr =
    std::unique_ptr<bufferevent, decltype(&bufferevent_free)>;

enum class connect_result
{
    connected,
    refused, ///< no process listens there
    failed,  ///< anything else, a timeout included
};

/// One attempt to connect, which tells a refusal from other failures.
class connect_attempt : public disposable
{
public:
    /// Called once; on success with the open connection.
    using handler = std::function<void(connect_result, bufferevent_ptr)>;

    /// `done` is not called before the constructor returns.
    connect_attempt(event_loop& loop, const address& peer, duration timeout,
                    handler done);

private:
    static void handle_event(bufferevent*, short what, void* self);
    void end(short what);

    bufferevent_ptr stream_{nullptr, &bufferevent_free};
    handler done_;
    bool refused_at_once_ = false;
};

} // namespace vanillapost::io::detail

#endif
