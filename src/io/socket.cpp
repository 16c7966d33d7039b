#include "vanillapost/src/io/detail/socket.hpp"

#include "vanillapost/src/base/error.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace vanillapost::io::detail {

namespace {

constexpr std::int64_t micros_per_second = 1'000'000;

} // namespace

timeval to_timeval(duration value)
{
    auto micros = std::max<std::int64_t>(value.count(), 0);
    return {micros / micros_per_second, micros % micros_per_second};
}

std::string last_error_text()
{
    return evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR());
}

void set_no_delay(evutil_socket_t socket)
{
    int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void set_keep_alive_probes(evutil_socket_t socket)
{
    int on = 1;
    int idle_s = 1;
    int interval_s = 1;
    int lost_probes = 2;
    unsigned int unacknowledged_ms = 2500;
    ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
                 sizeof interval_s);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &lost_probes,
                 sizeof lost_probes);
    ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
                 sizeof unacknowledged_ms);
}

address local_address(evutil_socket_t socket)
{
    sockaddr_storage storage{};
    socklen_t length = sizeof storage;
    auto* bound = reinterpret_cast<sockaddr*>(&storage);
    if (::getsockname(socket, bound, &length) != 0)
        throw error("read local address", "", last_error_text());
    char text[INET6_ADDRSTRLEN] = "";
    if (storage.ss_family == AF_INET6) {
        auto* v6 = reinterpret_cast<sockaddr_in6*>(&storage);
        inet_ntop(AF_INET6, &v6->sin6_addr, text, sizeof text);
        return {text, ntohs(v6->sin6_port)};
    }
    auto* v4 = reinterpret_cast<sockaddr_in*>(&storage);
    inet_ntop(AF_INET, &v4->sin_addr, text, sizeof text);
    return {text, ntohs(v4->sin_port)};
}

socket_address to_socket_address(const address& value)
{
    socket_address made;
    auto* v4 = reinterpret_cast<sockaddr_in*>(&made.storage);
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&made.storage);
    if (inet_pton(AF_INET, value.ip.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(value.port);
        made.length = sizeof *v4;
    } else if (inet_pton(AF_INET6, value.ip.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(value.port);
        made.length = sizeof *v6;
    } else {
        throw error("use address", to_string(value), "expected an IP number");
    }
    return made;
}

bool is_closed_by_peer(evutil_socket_t socket)
{
    char byte = 0;
    auto got = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got >= 0 || (errno != EAGAIN && errno != EINTR);
}

bool is_refused_at_once(evutil_socket_t socket)
{
    tcp_info info{};
    socklen_t length = sizeof info;
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &length) != 0)
        return false;
    return info.tcpi_state == TCP_CLOSE;
}

} // namespace vanillapost::io::detail
