#ifndef VANILLAPOST_SRC_IO_CALLER_SERVER_HPP
#define VANILLAPOST_SRC_IO_CALLER_SERVER_HPP

#include "../base/time.hpp"
#include "address.hpp"
#include "client_ledger.hpp"
#include "event_loop.hpp"
#include "http_message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace vanillapost::io {

namespace detail {
struct caller_slot;
}

/// Bounds on what one caller can make the server hold.
struct caller_server_limits
{
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 64 * 1024 * 1024;
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);
    /// Time without progress in the body of a request, or in an answer that
    /// its caller does not read.
    duration stall_timeout = std::chrono::seconds(20);
    /// Of all bodies over 64 KiB together, of requests that are being read or
    /// have not been answered. Further ones wait, unread.
    std::size_t max_total_body_bytes = 64 * 1024 * 1024;
    /// After which a body that waits for room is refused with 503.
    duration room_timeout = std::chrono::seconds(5);
    std::size_t max_pipelined = 64; ///< requests of one connection at a time
    std::size_t max_connections = 8192;
};

/// One request and the answer to it.
///
/// Destroying it before the answer is complete breaks the connection off, so
/// that the caller sees a failure and not a whole answer.
class caller_exchange
{
public:
    explicit caller_exchange(detail::caller_slot& slot);
    ~caller_exchange();
    caller_exchange(const caller_exchange&) = delete;
    caller_exchange& operator=(const caller_exchange&) = delete;

    /// The request; once.
    http_request take_request();

    /// When the whole request had come. It may be handed over later, see
    /// `hold_followers`.
    time_point taken_at() const;

    /// Hands over no request behind this one on its connection before the
    /// answer to this one is complete. It may be so long that it is streamed,
    /// and a streamed answer that breaks ends its connection, with all requests
    /// behind it. To be called while the request is handed over; an answer that
    /// is streamed does so by itself.
    void hold_followers();

    /// Called once when the caller has closed its connection.
    void on_gone(std::function<void()> handler);

    /// Sends the whole answer. Behind `begin` it breaks the begun one off
    /// instead: nothing else may stand in its place.
    void reply(int status, const header_list& headers, std::string_view body);

    /// Starts an answer that is streamed, chunked when no length is given.
    void begin(int status, const header_list& headers,
               std::optional<std::uint64_t> length);
    /// More than the length that was given breaks the answer off.
    void write(std::string_view data);
    /// Less than the length that was given breaks the answer off.
    void finish();

    /// Whether `begin` was called: the answer can only be finished now, or
    /// broken off.
    bool has_begun() const
    {
        return begun_;
    }

    /// Bytes written that the kernel has not taken yet.
    std::size_t pending_bytes() const;

private:
    friend struct detail::caller_slot;

    void start_body(int status, std::optional<std::uint64_t> length);
    void break_off();

    detail::caller_slot* slot_;
    bool begun_ = false;
    std::function<void()> gone_;
};

/// HTTP/1.1 towards callers: answers pipelined requests in their order while
/// it works on them side by side.
class caller_server
{
public:
    using handler = std::function<void(std::unique_ptr<caller_exchange>)>;
    struct state;

    /// \param ledger  of all servers of the process; its own one if null
    caller_server(event_loop& loop, caller_server_limits limits, handler handle,
                  client_ledger* ledger = nullptr);
    ~caller_server();

    /// Listens; port 0 takes a free one. Returns the bound address.
    /// \throws error  when the address cannot be bound
    address listen(const address& where);

    /// For connections and requests from now on.
    void set_limits(const caller_server_limits& limits);

    /// Sets whether connections end from now on: each takes no further request
    /// once an answer begins, and its last answer says `Connection: close`.
    void announce_close(bool announced = true);

    /// Refuses new connections, closes those without a request, and takes no
    /// further request on the others. It cannot be taken back.
    void stop_accepting();

    /// Requests without their whole answer.
    std::size_t in_flight() const;

    std::size_t connections() const;

    /// Bytes of the room for large bodies that are reserved.
    std::size_t body_bytes() const;

private:
    std::unique_ptr<state> state_;
};

} // namespace vanillapost::io

#endif
