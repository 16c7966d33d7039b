#ifndef VANILLAPOST_SRC_IO_HTTP_SERVER_HPP
#define VANILLAPOST_SRC_IO_HTTP_SERVER_HPP

#include "../base/time.hpp"
#include "address.hpp"
#include "client_ledger.hpp"
#include "event_loop.hpp"
#include "http_message.hpp"

#include <functional>
#include <memory>

namespace vanillapost::io {

/// Bounds on what one peer can make the server hold.
struct http_server_limits
{
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 1024 * 1024;
    duration idle_timeout = std::chrono::seconds(60);
    int max_connections = 4096;
};

/// One request and the answer to it.
///
/// Destroying it before `reply` or `finish` closes the connection, so that the
/// caller sees a failure and not a whole answer.
class server_exchange
{
public:
    struct state;
    explicit server_exchange(std::unique_ptr<state> impl);
    ~server_exchange();

    std::string_view method() const;
    std::string_view path() const; ///< without the query, still encoded
    std::string_view query() const;
    /// Decoded value of a query parameter, or "".
    std::string query_value(std::string_view name) const;
    std::span<const header_field> headers() const;
    std::string_view body() const;
    std::string peer() const;

    /// Called once when the caller goes away before the answer is finished.
    void on_abort(std::function<void()> handler);

    /// Sends the whole answer.
    void reply(int status, std::span<const header_field> headers,
               std::string_view body);

    /// Starts an answer that is streamed. With a Content-Length header the
    /// body goes out as it is, else chunked.
    void start(int status, std::span<const header_field> headers);
    void write(std::string_view data);
    void finish();

    /// Bytes written that the kernel has not taken yet.
    std::size_t pending_bytes() const;

    /// Called each time the bytes written have gone out.
    void on_drained(std::function<void()> handler);

private:
    std::unique_ptr<state> state_;
};

/// An HTTP server on evhttp.
class http_server
{
public:
    using handler = std::function<void(std::unique_ptr<server_exchange>)>;
    struct state;

    /// \param ledger  of all servers of the process; its own one if null
    http_server(event_loop& loop, http_server_limits limits, handler handle,
                client_ledger* ledger = nullptr);
    ~http_server();

    /// Listens; port 0 takes a free one. Returns the bound address.
    /// \throws error  when the address cannot be bound
    address listen(const address& where);

    /// Accepts no more connections and answers open ones with
    /// `Connection: close`; requests in flight go on.
    void stop_accepting();

    /// Requests that have not had their whole answer.
    std::size_t in_flight() const;

private:
    std::unique_ptr<state> state_;
};

} // namespace vanillapost::io

#endif
