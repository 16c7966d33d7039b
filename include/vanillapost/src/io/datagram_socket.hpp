#ifndef VANILLAPOST_SRC_IO_DATAGRAM_SOCKET_HPP
#define VANILLAPOST_SRC_IO_DATAGRAM_SOCKET_HPP

#include "address.hpp"
#include "event_loop.hpp"

#include <functional>
#include <memory>
#include <string_view>

namespace vanillapost::io {

/// A UDP socket. A datagram may be lost, and may come from anyone.
class datagram_socket
{
public:
    using handler =
        std::function<void(const address& from, std::string_view bytes)>;

    /// \throws error  when the address cannot be bound
    datagram_socket(event_loop& loop, const address& where, handler handle);
    ~datagram_socket();

    /// Sends, or drops when the kernel does not take it.
    /// \return whether it was taken
    bool send(const address& to, std::string_view bytes);

    address local() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace vanillapost::io

#endif
