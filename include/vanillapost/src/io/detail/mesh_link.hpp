#ifndef VANILLAPOST_SRC_IO_DETAIL_MESH_LINK_HPP
#define VANILLAPOST_SRC_IO_DETAIL_MESH_LINK_HPP

#include "../../base/identifier.hpp"
#include "../mesh.hpp"
#include "connect_attempt.hpp"
#include "websocket_session.hpp"

#include <nlohmann/json.hpp>
#include <optional>

namespace vanillapost::io::detail {

struct mesh_counters
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

/// What one side says about itself first.
struct mesh_hello
{
    entry_incarnation who;
    address where; ///< where it listens for other entries
};

nlohmann::json render_hello(const mesh_hello& hello);

/// \throws error  when `message` is no hello
mesh_hello parse_hello(const nlohmann::json& message);

/// One connection to another entry.
///
/// Its handlers may close it. They must not destroy it: hand it to
/// `event_loop::dispose`.
class mesh_link : public disposable
{
public:
    struct handlers
    {
        std::function<void(mesh_link&)> on_open;
        std::function<void(mesh_link&, nlohmann::json)> on_message;
        std::function<void(mesh_link&)> on_end; ///< not after `close`
    };

    /// \param uri  of the peer on the connecting side, else empty
    mesh_link(event_loop& loop, bufferevent_ptr stream, const std::string& uri,
              const mesh_limits& limits, mesh_counters& counters,
              handlers notify);
    ~mesh_link() override;

    /// Sends, or drops the connection when too much is pending.
    bool send(const nlohmann::json& message);
    void ping();

    /// Ends the connection without calling `on_end`.
    void close();

    time_point last_heard() const
    {
        return last_heard_;
    }

    const std::optional<mesh_hello>& hello() const
    {
        return hello_;
    }

    void set_hello(mesh_hello hello)
    {
        hello_ = std::move(hello);
    }

private:
    static void handle_read(bufferevent*, void* self);
    static void handle_event(bufferevent*, short what, void* self);

    websocket_handlers make_handlers();
    void read();
    void write(const char* data, std::size_t size);
    void receive(const std::string& payload);
    void fail();

    event_loop& loop_;
    bufferevent_ptr stream_;
    mesh_limits limits_;
    mesh_counters& counters_;
    handlers notify_;
    std::optional<mesh_hello> hello_;
    time_point last_heard_;
    bool open_ = false;
    bool closed_ = false;
    bool failed_ = false; ///< `on_end` is about to be called
    websocket_session session_;
};

} // namespace vanillapost::io::detail

#endif
