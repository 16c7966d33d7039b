#ifndef VANILLAPOST_SRC_IO_DETAIL_MESH_STATE_HPP
#define VANILLAPOST_SRC_IO_DETAIL_MESH_STATE_HPP

#include "../../base/random.hpp"
#include "../mesh.hpp"
#include "connect_attempt.hpp"
#include "mesh_link.hpp"

#include <algorithm>
#include <event2/listener.h>
#include <map>
#include <memory>

/// What the sources of the mesh share.
namespace vanillapost::io {

namespace detail {

/// Attempts at a peer that does not answer slow down to this many intervals.
constexpr int max_backoff = 8;

/// When to try a connection next; waits grow and are spread out.
struct retry_schedule
{
    time_point next{};
    int backoff = 1;

    void wait(time_point now, duration interval, random_engine& random)
    {
        // From half to one and a half intervals.
        auto width = static_cast<std::uint32_t>(interval.count()) + 1;
        auto spread = duration(static_cast<std::int64_t>(random(width)));
        next = now + backoff * (interval / 2 + spread);
        backoff = std::min(backoff * 2, max_backoff);
    }
};

/// A peer as the owner named it.
struct known_peer
{
    address where;
    mesh_link* up = nullptr;
    mesh_link* opening = nullptr; ///< connected, no hello yet
    std::unique_ptr<connect_attempt> attempt;
    retry_schedule retry;
};

/// An incarnation whose connection went down and that may have ended.
struct suspect
{
    mesh_hello last;
    std::unique_ptr<connect_attempt> probe;
    retry_schedule retry;
};

} // namespace detail

struct mesh::state
{
    event_loop& loop;
    entry_incarnation self;
    mesh_limits limits;
    mesh_handlers notify;
    random_engine random;
    address listening = {};
    detail::mesh_counters counters = {};
    std::map<entry_id, detail::known_peer> peers = {};
    std::map<entry_incarnation, detail::suspect> suspects = {};
    std::map<detail::mesh_link*, std::unique_ptr<detail::mesh_link>> links = {};
    std::unique_ptr<evconnlistener, decltype(&evconnlistener_free)> listener{
        nullptr, &evconnlistener_free};
    timer tick{loop, [this] { run_tick(); }};
    time_point next_ping{};

    static void handle_accept(evconnlistener*, evutil_socket_t socket,
                              sockaddr*, int, void* self);

    bool connects_to(const entry_id& peer) const
    {
        return self.name < peer;
    }

    void accept(evutil_socket_t socket);
    detail::mesh_link& add_link(detail::bufferevent_ptr stream,
                                const std::string& uri);
    void drop(detail::mesh_link& link);
    void end_link(detail::mesh_link& link);

    void receive(detail::mesh_link& link, nlohmann::json message);
    void greet(detail::mesh_link& link, const detail::mesh_hello& hello);
    bool accepts(const detail::mesh_link& link,
                 const detail::mesh_hello& hello);
    void settle_suspects(const detail::mesh_hello& newer);

    void connect(const entry_id& name, detail::known_peer& peer);
    void end_attempt(const entry_id& name, detail::connect_result result,
                     detail::bufferevent_ptr stream);
    void add_suspect(const detail::mesh_hello& last);
    void probe(detail::suspect& who);
    void end_probe(const entry_incarnation& who, detail::connect_result result);
    void report_refused(const address& where);

    void run_tick();
    void check_silence(time_point now);
    void try_peers(time_point now);
};

} // namespace vanillapost::io

#endif
