#ifndef VANILLAPOST_SRC_IO_DETAIL_CLIENT_CONNECTION_HPP
#define VANILLAPOST_SRC_IO_DETAIL_CLIENT_CONNECTION_HPP

#include "../http_client.hpp"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace vanillapost::io::detail {

/// One connection of a client, with at most one call at a time.
///
/// evhttp may still be on the stack when a call is cancelled or fails, so a
/// connection is never destroyed directly but through `event_loop::dispose`.
class client_connection : public disposable
{
public:
    /// Called when the call has ended and handlers have yet to run; decides
    /// what becomes of the connection.
    using on_idle = std::function<void(client_connection&, bool reusable)>;

    client_connection(event_loop& loop, const address& peer,
                      const http_client_limits& limits, on_idle idle);
    ~client_connection() override;

    /// Sends `request`.
    void send(const http_request& request, call_handlers handlers,
              duration timeout);

    /// Fails on the next turn of the loop without sending anything.
    void fail_later(call_handlers handlers, call_failure failure);

    /// Drops the call without calling its handlers.
    void abandon();

    void pause();
    void resume();

    /// Whether the peer has left this idle connection alone and open.
    bool is_reusable() const;

    time_point idle_since() const
    {
        return idle_since_;
    }

private:
    static void handle_answer(evhttp_request* request, void* self);
    static int handle_headers(evhttp_request* request, void* self);
    static void handle_data(evhttp_request* request, void* self);
    static void handle_error(evhttp_request_error error, void* self);
    static void handle_close(evhttp_connection* connection, void* self);
    static void handle_connect(bufferevent* stream, short what, void* self);

    template <class Callback>
    void guard(std::string_view step, const Callback& callback);
    void open();
    void watch_connect();
    evhttp_request* make_request(const http_request& request);
    void note_connect(short what);
    void deliver_headers(evhttp_request* request);
    void deliver_data(evhttp_request* request);
    void take_answer(evhttp_request* request);
    void handle_timer();
    void finish(std::optional<call_failure> failure);
    call_failure describe_failure() const;

    event_loop& loop_;
    address peer_;
    http_client_limits limits_;
    on_idle idle_;
    std::unique_ptr<evhttp_connection, decltype(&evhttp_connection_free)>
        handle_{nullptr, &evhttp_connection_free};
    bufferevent* stream_ = nullptr; ///< owned by `handle_`
    timer timer_;
    call_handlers handlers_;
    std::optional<call_failure> pending_failure_;
    std::optional<evhttp_request_error> error_;
    std::string connect_error_;
    bufferevent_event_cb connect_callback_ = nullptr;
    void* connect_context_ = nullptr;
    time_point idle_since_{};
    bool busy_ = false;
    bool abandoned_ = false;
    bool starting_ = false;
    bool connected_ = false;
    bool refused_ = false;
    bool refused_at_once_ = false;
    bool closed_ = false;
    bool has_headers_ = false;
    bool handler_failed_ = false;
    bool paused_ = false;
};

} // namespace vanillapost::io::detail

#endif
