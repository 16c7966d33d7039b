#ifndef VANILLAPOST_SRC_IO_DETAIL_WEBSOCKET_SESSION_HPP
#define VANILLAPOST_SRC_IO_DETAIL_WEBSOCKET_SESSION_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace vanillapost::io::detail {

/// What a session tells its owner. No handler may destroy the session.
struct websocket_handlers
{
    std::function<void(const char*, std::size_t)> write; ///< to the peer
    std::function<void()> on_open;
    std::function<void(const std::string&)> on_message; ///< a binary one
    std::function<void()> on_failure; ///< bad input or closed by the peer
};

/// The WebSocket protocol between two byte streams, by websocketpp.
///
/// \note websocketpp 0.8.2 does not compile as C++20: this header stays free
/// of it, and the source behind it is compiled as C++17.
class websocket_session
{
public:
    /// \param uri  of the peer, for the client's side; empty for the server's
    websocket_session(const std::string& uri, std::size_t max_message_bytes,
                      websocket_handlers handlers);
    ~websocket_session();
    websocket_session(const websocket_session&) = delete;
    websocket_session& operator=(const websocket_session&) = delete;

    /// Starts the handshake.
    void start();

    /// Takes in bytes from the peer.
    /// \returns false  when the session takes no more
    bool read(const char* data, std::size_t size);

    /// Sends one binary message; only after `on_open`.
    bool send(const void* data, std::size_t size);

    void ping();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace vanillapost::io::detail

#endif
