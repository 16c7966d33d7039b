#include "connect_probe.hpp"

#include <cerrno>
#include <event2/event.h>
#include <event2/util.h>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillapost::standin {

namespace {

constexpr timeval connect_timeout{1, 0};
constexpr timeval at_once{0, 0};

int start_connect(int socket, const io::address& peer)
{
    sockaddr_storage where{};
    auto* generic = reinterpret_cast<sockaddr*>(&where);
    int length = sizeof where;
    evutil_parse_sockaddr_port(io::to_string(peer).c_str(), generic, &length);
    const auto size = static_cast<socklen_t>(length);
    return connect(socket, generic, size) == 0 ? 0 : errno;
}

} // namespace

void connect_probe::free_event::operator()(event* value) const
{
    event_free(value);
}

connect_probe::connect_probe(io::event_loop& loop, const io::address& peer,
                             std::function<void()> refused)
    : refused_(std::move(refused)),
      socket_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      connect_error_(start_connect(socket_, peer)),
      ready_(event_new(loop.base(), socket_, EV_WRITE, on_ready, this))
{
    // On one machine a refusal is known at once.
    const bool in_progress = connect_error_ == EINPROGRESS;
    event_add(ready_.get(), in_progress ? &connect_timeout : &at_once);
}

connect_probe::~connect_probe()
{
    ready_.reset();
    close(socket_);
}

void connect_probe::on_ready(int socket, short events, void* self)
{
    auto& probe = *static_cast<connect_probe*>(self);
    int failure = probe.connect_error_;
    if (failure == EINPROGRESS && (events & EV_WRITE)) {
        socklen_t size = sizeof failure;
        getsockopt(socket, SOL_SOCKET, SO_ERROR, &failure, &size);
    }
    probe.settle(failure);
}

void connect_probe::settle(int failure)
{
    finished_ = true;
    ready_.reset();
    shutdown(socket_, SHUT_RDWR);
    if (failure == ECONNREFUSED)
        refused_();
}

} // namespace vanillapost::standin
