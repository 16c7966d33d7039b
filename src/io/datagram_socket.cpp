#include "vanillapost/src/io/datagram_socket.hpp"

#include "vanillapost/src/base/error.hpp"
#include "vanillapost/src/io/detail/socket.hpp"

#include <arpa/inet.h>
#include <array>
#include <event2/event.h>
#include <netinet/in.h>
#include <unistd.h>

namespace vanillapost::io {

namespace {

constexpr std::size_t max_datagram_bytes = 64 * 1024;
/// Datagrams read before other events have their turn.
constexpr int reads_per_turn = 64;

} // namespace

struct datagram_socket::state
{
    event_loop& loop;
    handler handle = {};
    int socket = -1;
    std::unique_ptr<event, decltype(&event_free)> readable{nullptr,
                                                           &event_free};
    std::array<char, max_datagram_bytes> buffer = {};

    ~state()
    {
        readable.reset();
        if (socket >= 0)
            ::close(socket);
    }

    static void on_readable(evutil_socket_t, short, void* self)
    {
        auto* that = static_cast<state*>(self);
        for (int i = 0; i < reads_per_turn; ++i)
            if (!that->read_one())
                return;
    }

    bool read_one()
    {
        sockaddr_in from{};
        socklen_t length = sizeof from;
        const auto got =
            ::recvfrom(socket, buffer.data(), buffer.size(), MSG_DONTWAIT,
                       reinterpret_cast<sockaddr*>(&from), &length);
        if (got < 0)
            return false;
        char text[INET_ADDRSTRLEN] = "";
        inet_ntop(AF_INET, &from.sin_addr, text, sizeof text);
        loop.guard("take datagram", text, [&] {
            handle({text, ntohs(from.sin_port)},
                   {buffer.data(), static_cast<std::size_t>(got)});
        });
        return true;
    }
};

datagram_socket::datagram_socket(event_loop& loop, const address& where,
                                 handler handle)
    : state_(std::unique_ptr<state>(new state{loop}))
{
    state_->handle = std::move(handle);
    state_->socket =
        ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    auto local = detail::to_socket_address(where);
    if (state_->socket < 0 || ::bind(state_->socket, local.get(),
                                     static_cast<socklen_t>(local.length)) != 0)
        throw error("bind datagram socket", to_string(where),
                    detail::last_error_text());
    state_->readable.reset(event_new(loop.base(), state_->socket,
                                     EV_READ | EV_PERSIST, &state::on_readable,
                                     state_.get()));
    event_add(state_->readable.get(), nullptr);
}

datagram_socket::~datagram_socket() = default;

bool datagram_socket::send(const address& to, std::string_view bytes)
{
    auto peer = detail::to_socket_address(to);
    const auto sent =
        ::sendto(state_->socket, bytes.data(), bytes.size(), MSG_DONTWAIT,
                 peer.get(), static_cast<socklen_t>(peer.length));
    return sent == static_cast<ssize_t>(bytes.size());
}

address datagram_socket::local() const
{
    return detail::local_address(state_->socket);
}

} // namespace vanillapost::io
