#ifndef VANILLAPOST_SRC_IO_DETAIL_CONNECTION_PRESSURE_HPP
#define VANILLAPOST_SRC_IO_DETAIL_CONNECTION_PRESSURE_HPP

#include "../../base/time.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

/// Decides which connections of clients are closed when all together hold more
/// than a process may hold.
namespace vanillapost::io::detail {

/// What a connection is waiting for.
enum class client_state
{
    idle,    ///< for the next request; it has had one
    reading, ///< for the rest of a request, or for the first one
    working, ///< for the system's answer
    unread   ///< for its client to take an answer
};

/// What one connection holds.
struct client_hold
{
    std::size_t bytes = 0; ///< as parsed, buffered and unread
    client_state state = client_state::idle;
    /// Since when it waits: a byte of a request or of an answer is no end of
    /// it.
    time_point since{};
};

/// Connections to close so that bytes become free: those first that hold most
/// for the longest time, and those that wait for the system last. One that
/// holds nothing is never chosen.
/// \return indexes of `holds`, in the order of closing; too few if all of them
///         hold less
std::vector<std::size_t> select_for_bytes(std::span<const client_hold> holds,
                                          std::size_t bytes_to_free,
                                          time_point now);

/// The connection to close so that another one can be taken: one whose request
/// does not come for longer than a working client takes, else an idle one, else
/// one that waits for its client; the longest wait first.
/// \return an index of `holds`; nothing if all of them wait for the system
std::optional<std::size_t> select_for_place(std::span<const client_hold> holds,
                                            time_point now);

} // namespace vanillapost::io::detail

#endif
