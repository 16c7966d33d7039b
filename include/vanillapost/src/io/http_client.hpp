#ifndef VANILLAPOST_SRC_IO_HTTP_CLIENT_HPP
#define VANILLAPOST_SRC_IO_HTTP_CLIENT_HPP

#include "../base/time.hpp"
#include "address.hpp"
#include "event_loop.hpp"
#include "http_message.hpp"

#include <functional>
#include <memory>
#include <string>

namespace vanillapost::io {

enum class call_failure_kind
{
    refused,         ///< no process listens there: the request did not run
    connect_timeout, ///< no connection in time: the request did not run
    timeout,         ///< sent, no whole answer in time: may have run
    reset,           ///< sent, the connection ended before the answer
    truncated,       ///< the answer broke off after its headers
    bad_answer,      ///< not HTTP, or larger than the limits
};

struct call_failure
{
    call_failure_kind kind;
    bool sent; ///< whether any byte of the request may have reached the peer
    std::string what;
};

/// Receives an answer piece by piece. `on_done` or `on_failure` comes last and
/// once; neither comes after `cancel`.
struct call_handlers
{
    std::function<void(int status, std::span<const header_field>)> on_headers;
    std::function<void(std::string_view)> on_data;
    std::function<void()> on_done;
    std::function<void(const call_failure&)> on_failure;
};

/// A call in flight. Destroying or cancelling it closes its connection, which
/// is how a target learns that its answer is not wanted.
class http_call
{
public:
    struct state;
    explicit http_call(std::unique_ptr<state> impl);
    ~http_call();

    void cancel();
    /// Stops and resumes reading the answer, for back-pressure.
    void pause();
    void resume();

private:
    std::unique_ptr<state> state_;
};

struct http_client_limits
{
    std::size_t max_connections = 200;
    std::size_t max_idle_connections = 16;
    std::size_t max_header_bytes = 16 * 1024;
    duration connect_timeout = std::chrono::milliseconds(500);
    duration idle_timeout = std::chrono::seconds(30);
    /// Let the kernel find connections whose peer has gone silent.
    bool keep_alive_probes = false;
};

/// Keeps connections to one address and sends calls over them, one call at a
/// time on a connection; reuses idle ones.
///
/// \note Never sends a request twice by itself: a call on a reused connection
/// that the peer had closed fails with `reset`, `sent` true.
class http_client
{
public:
    struct state;

    http_client(event_loop& loop, address peer, http_client_limits limits = {});
    ~http_client();

    /// Starts a call that fails with `timeout` when it takes longer.
    /// Handlers are never called before this returns.
    std::unique_ptr<http_call> start(const http_request& request,
                                     call_handlers handlers, duration timeout);

    std::size_t open_connections() const;

private:
    std::unique_ptr<state> state_;
};

} // namespace vanillapost::io

#endif
