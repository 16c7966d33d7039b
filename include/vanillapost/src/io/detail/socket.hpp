#ifndef VANILLAPOST_SRC_IO_DETAIL_SOCKET_HPP
#define VANILLAPOST_SRC_IO_DETAIL_SOCKET_HPP

#include "../../base/time.hpp"
#include "../address.hpp"

#include <event2/util.h>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>

namespace vanillapost::io::detail {

timeval to_timeval(duration value);

/// Text of the last socket error of this thread.
std::string last_error_text();

void set_no_delay(evutil_socket_t socket);

/// Has the kernel end a connection within some seconds of its peer's silence.
void set_keep_alive_probes(evutil_socket_t socket);

address local_address(evutil_socket_t socket);

/// An address as the socket functions take it.
struct socket_address
{
    sockaddr_storage storage{};
    int length = 0;

    sockaddr* get()
    {
        return reinterpret_cast<sockaddr*>(&storage);
    }
};

/// \throws error  when `value` is no IP number
socket_address to_socket_address(const address& value);

/// Whether the peer of an idle connection has closed it or sent bytes that
/// nobody asked for.
bool is_closed_by_peer(evutil_socket_t socket);

/// Whether a connection attempt has failed already: on the local host a
/// refusal comes at once.
bool is_refused_at_once(evutil_socket_t socket);

} // namespace vanillapost::io::detail

#endif
