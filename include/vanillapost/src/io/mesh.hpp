#ifndef VANILLAPOST_SRC_IO_MESH_HPP
#define VANILLAPOST_SRC_IO_MESH_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"
#include "address.hpp"
#include "event_loop.hpp"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

namespace vanillapost::io {

struct mesh_peer
{
    entry_id name;
    address where;
};

struct mesh_limits
{
    std::size_t max_message_bytes = 256 * 1024;
    std::size_t max_pending_bytes = 1024 * 1024; ///< then the peer is closed
    duration reconnect_interval = std::chrono::milliseconds(250);
    duration silence_timeout = std::chrono::seconds(3); ///< half-open peers
};

/// What the mesh tells its owner.
struct mesh_handlers
{
    std::function<void(const entry_incarnation& from, nlohmann::json message)>
        on_message;
    std::function<void(const entry_incarnation&)> on_up;
    std::function<void(const entry_incarnation&)> on_down;
    /// The process that had this incarnation has ended: its address refused
    /// a connection, or another incarnation listens there now. Comes after
    /// `on_down`, once. A timeout, or the same name at another address, is no
    /// proof and never leads here.
    std::function<void(const entry_incarnation&)> on_ended;
};

/// Connections to the other entries: websocketpp over libevent bufferevents,
/// one CBOR message a frame.
///
/// The entry with the smaller name connects; both sides send a hello with
/// name and incarnation first. Messages keep their order on a connection and
/// may be lost when it ends.
///
/// \note Handlers may call any function, but must not destroy the mesh.
/// \warning Keep listening until the process exits: peers take a refused
///          connection as proof that it has ended.
class mesh
{
public:
    struct state;

    mesh(event_loop& loop, entry_incarnation self, mesh_limits limits,
         mesh_handlers handlers);
    ~mesh();

    address listen(const address& where);

    /// Connects to new peers and closes those that are not named.
    void set_peers(const std::vector<mesh_peer>& peers);

    /// Sends if the peer is up; returns whether it was.
    bool send(const entry_id& peer, const nlohmann::json& message);

    std::vector<entry_incarnation> up() const;

    /// Bytes sent and received since the start, frames included.
    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

private:
    std::unique_ptr<state> state_;
};

} // namespace vanillapost::io

#endif
