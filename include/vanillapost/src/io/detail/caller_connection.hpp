#ifndef VANILLAPOST_SRC_IO_DETAIL_CALLER_CONNECTION_HPP
#define VANILLAPOST_SRC_IO_DETAIL_CALLER_CONNECTION_HPP

#include "../caller_server.hpp"
#include "../client_ledger.hpp"
#include "body_budget.hpp"
#include "connection_end.hpp"
#include "http1_reader.hpp"

#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <memory>
#include <string>

namespace vanillapost::io::detail {

class caller_connection;

/// The place of one request in the order of answers of its connection.
struct caller_slot
{
    caller_connection* connection = nullptr; ///< null once it has ended
    caller_exchange* owner = nullptr;        ///< null once it was destroyed
    http_request request;
    std::string method; ///< stays when the request is taken
    time_point taken_at{};
    bool is_handed_over = false; ///< to the owner of the server
    bool holds_followers = false;
    bool keep_alive = true;
    bool begun = false;       ///< the head of its answer is made
    bool has_body = true;     ///< of the answer
    bool knows_chunks = true; ///< its caller does
    bool chunked = false;
    bool until_close = false; ///< the connection's end ends the answer
    std::uint64_t left = 0;   ///< of a body with a length
    bool finished = false;
    bool broken = false; ///< the connection ends at its turn
    std::string held;    ///< answer bytes behind those of earlier requests
    std::optional<body_budget::lease> room; ///< of a large body
    std::size_t request_bytes = 0; ///< without what has room as a large body

    static void notify_gone(caller_exchange& owner);
};

/// What a connection needs of the server that owns it.
struct connection_host
{
    event_loop* loop = nullptr;
    caller_server_limits limits;
    caller_server::handler handle;
    server_phase phase = server_phase::serving;
    std::size_t in_flight = 0;
    body_budget bodies{0};
    client_ledger* ledger = nullptr; ///< of all servers of the process
    std::function<void(caller_connection&)> ended;
};

/// One connection of a caller.
///
/// libevent may be on the stack when it ends, so it is destroyed through
/// `event_loop::dispose`.
class caller_connection : public disposable, public ledger_member
{
public:
    caller_connection(connection_host& host, evutil_socket_t socket);
    ~caller_connection() override;

    /// Takes answer bytes of a slot; they go out when it is its turn.
    void send(caller_slot& slot, std::string_view bytes);
    void finish(caller_slot& slot);

    /// The answer of the slot cannot be completed: those before it still go
    /// out, then the connection ends.
    void break_off(caller_slot& slot);

    /// Ends the connection at once.
    void break_off();

    client_hold hold() const override;

    /// As `break_off`, and frees what it holds. Not to be called while it is on
    /// the stack.
    void close_for_room() override;

    std::size_t pending_bytes(const caller_slot& slot) const;

    /// Closes it if no request is being read or answered.
    void close_if_idle();

    /// To be called when the server closes: the newest request becomes the
    /// last one.
    void on_server_closing();

    /// Enforces the time limits.
    void check_time(time_point now);

    /// To be called before the head of the slot's answer is made.
    /// \return whether the answer says that it is the last one
    bool begin_answer(caller_slot& slot);

private:
    static void on_readable(bufferevent* stream, void* self);
    static void on_written(bufferevent* stream, void* self);
    static void on_output(evbuffer* output, const evbuffer_cb_info* info,
                          void* self);
    static void on_event(bufferevent* stream, short what, void* self);

    template <class Callback>
    void guard(std::string_view step, const Callback& callback);
    void read_requests();
    void take_head(message_head&& head);
    void take_body(std::string_view bytes);
    void take_request();
    void refuse(int status, std::string_view reason, header_list headers = {});
    bool has_room_for_body();
    bool may_read_on();
    bool has_room_to_read();
    std::size_t unread_bytes() const;
    std::size_t held_bytes() const;
    void note_held();
    void go_on();
    void wait_for_room(std::size_t bytes);
    void check_waiting(time_point now);
    void stop_waiting();
    void flush();
    void drop_slots(std::size_t kept = 0);
    bool has_unread() const;
    bool is_idle() const;
    std::size_t pending_output() const;
    void reset_instead_of_closing();
    void check_delivery(time_point now);
    int undelivered_bytes() const;
    bool has_caller_closed() const;
    void check_reading(time_point now);
    void note_idle();
    void tell_to_go_on();
    connection_load load() const;
    caller_slot* next_to_hand_over();
    void hand_over_requests();
    void hand_over(caller_slot& slot);
    void set_last();
    void close_gracefully();
    void close_between_requests();
    void close_unread();
    void end();

    connection_host& host_;
    std::unique_ptr<bufferevent, decltype(&bufferevent_free)> stream_{
        nullptr, &bufferevent_free};
    http1_reader reader_;
    std::deque<std::unique_ptr<caller_slot>> slots_;
    std::unique_ptr<caller_slot> incoming_;
    bool headers_read_ = false;
    bool body_too_large_ = false;
    std::optional<std::uint64_t> body_length_; ///< if the caller told it
    time_point waits_since_{};                 ///< for room for its body
    bool wants_go_on_ = false; ///< its caller waits before it sends the body
    bool reading_ = false;
    bool handing_over_ = false;
    connection_end end_;
    bool ends_an_answer_ = false; ///< one without a length has begun
    time_point message_since_{};  ///< its first byte
    time_point heard_{};          ///< last bytes of a request
    time_point written_{};        ///< last progress of the output
    time_point unread_since_{};   ///< the output was empty before
    bool had_request_ = false;
    time_point idle_since_{};
    duration idle_limit_{};      ///< in force when it became idle
    time_point closing_since_{}; ///< or since bytes were delivered
    int undelivered_ = 0;        ///< bytes in the kernel then
};

/// First line and headers of an answer.
std::string format_answer_head(int status, const header_list& headers,
                               std::string_view framing, bool close);

} // namespace vanillapost::io::detail

#endif
