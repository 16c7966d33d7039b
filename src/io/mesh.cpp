#include "vanillapost/src/io/mesh.hpp"

#include "vanillapost/src/base/error.hpp"
#include "vanillapost/src/io/detail/mesh_state.hpp"

#include <algorithm>
#include <utility>

namespace vanillapost::io {

using detail::connect_result;
using detail::known_peer;
using detail::mesh_hello;
using detail::mesh_link;

namespace {

constexpr int listen_backlog = 128;
constexpr std::size_t max_unnamed_links = 64;
/// A silent connection is pinged this often within the silence timeout.
constexpr int pings_per_timeout = 3;

std::uint64_t seed_of(const entry_incarnation& self)
{
    return std::hash<std::string>{}(self.name.value + self.incarnation);
}

duration tick_of(const mesh_limits& limits)
{
    return std::min(limits.reconnect_interval,
                    limits.silence_timeout / pings_per_timeout);
}

} // namespace

void mesh::state::handle_accept(evconnlistener*, evutil_socket_t socket,
                                sockaddr*, int, void* self)
{
    static_cast<state*>(self)->accept(socket);
}

void mesh::state::accept(evutil_socket_t socket)
{
    auto unnamed = std::ranges::count_if(
        links, [](const auto& item) { return !item.second->hello(); });
    if (static_cast<std::size_t>(unnamed) >= max_unnamed_links) {
        evutil_closesocket(socket);
        return;
    }
    detail::set_no_delay(socket);
    detail::bufferevent_ptr stream(
        bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE),
        &bufferevent_free);
    add_link(std::move(stream), "");
}

mesh_link& mesh::state::add_link(detail::bufferevent_ptr stream,
                                 const std::string& uri)
{
    mesh_link::handlers handlers;
    handlers.on_open = [this](mesh_link& link) {
        link.send(detail::render_hello({self, listening}));
    };
    handlers.on_message = [this](mesh_link& link, nlohmann::json message) {
        receive(link, std::move(message));
    };
    handlers.on_end = [this](mesh_link& link) { end_link(link); };
    auto made = std::make_unique<mesh_link>(
        loop, std::move(stream), uri, limits, counters, std::move(handlers));
    auto& link = *made;
    links.emplace(&link, std::move(made));
    return link;
}

/// Closes a connection; its owner hears nothing of it.
void mesh::state::drop(mesh_link& link)
{
    auto found = links.find(&link);
    if (found == links.end())
        return;
    link.close();
    loop.dispose(std::move(found->second));
    links.erase(found);
}

void mesh::state::end_link(mesh_link& link)
{
    drop(link);
    for (auto& [name, peer] : peers) {
        if (peer.opening == &link) {
            peer.opening = nullptr;
            peer.retry.wait(loop.now(), limits.reconnect_interval, random);
        }
        if (peer.up != &link)
            continue;
        peer.up = nullptr;
        auto last = *link.hello();
        add_suspect(last);
        notify.on_down(last.who);
        // The handler may have changed the peers.
        return;
    }
}

void mesh::state::receive(mesh_link& link, nlohmann::json message)
{
    if (link.hello()) {
        auto from = link.hello()->who;
        return notify.on_message(from, std::move(message));
    }
    try {
        auto hello = detail::parse_hello(message);
        if (accepts(link, hello))
            return greet(link, hello);
    } catch (const error&) {
        // Not one of ours: treated like a broken connection.
    }
    end_link(link);
}

bool mesh::state::accepts(const mesh_link& link, const mesh_hello& hello)
{
    auto peer = peers.find(hello.who.name);
    if (peer == peers.end())
        return false;
    bool outgoing = peer->second.opening == &link;
    return outgoing == connects_to(hello.who.name);
}

void mesh::state::greet(mesh_link& link, const mesh_hello& hello)
{
    auto& peer = peers.at(hello.who.name);
    peer.opening = nullptr;
    peer.retry = {};
    link.set_hello(hello);
    auto* older = std::exchange(peer.up, &link);
    if (older) {
        auto last = *older->hello();
        drop(*older);
        if (last.who != hello.who)
            add_suspect(last);
        notify.on_down(last.who);
    }
    suspects.erase(hello.who);
    settle_suspects(hello);
    // A handler may have closed this one.
    if (links.contains(&link))
        notify.on_up(hello.who);
}

void mesh::state::connect(const entry_id& name, known_peer& peer)
{
    peer.attempt = std::make_unique<detail::connect_attempt>(
        loop, peer.where, limits.silence_timeout,
        [this, name](connect_result result, detail::bufferevent_ptr stream) {
            end_attempt(name, result, std::move(stream));
        });
}

void mesh::state::end_attempt(const entry_id& name, connect_result result,
                              detail::bufferevent_ptr stream)
{
    auto& peer = peers.at(name);
    loop.dispose(std::move(peer.attempt));
    if (result == connect_result::connected) {
        auto uri = "ws://" + to_string(peer.where) + "/mesh";
        peer.opening = &add_link(std::move(stream), uri);
        return;
    }
    // A refusal costs nothing, and the next process may come at any moment.
    if (result == connect_result::refused)
        peer.retry.backoff = 1;
    peer.retry.wait(loop.now(), limits.reconnect_interval, random);
    if (result == connect_result::refused)
        report_refused(address(peer.where));
}

void mesh::state::run_tick()
{
    auto now = loop.now();
    check_silence(now);
    try_peers(now);
    for (auto& [who, item] : suspects)
        if (!item.probe && now >= item.retry.next)
            probe(item);
}

void mesh::state::check_silence(time_point now)
{
    std::vector<mesh_link*> silent;
    bool ping = now >= next_ping;
    for (auto& [key, link] : links) {
        if (now - link->last_heard() >= limits.silence_timeout)
            silent.push_back(key);
        else if (ping)
            link->ping();
    }
    if (ping)
        next_ping = now + limits.silence_timeout / pings_per_timeout;
    // Handlers of one may have closed another.
    for (auto* link : silent)
        if (links.contains(link))
            end_link(*link);
}

void mesh::state::try_peers(time_point now)
{
    for (auto& [name, peer] : peers) {
        bool busy = peer.up || peer.opening || peer.attempt;
        if (!busy && connects_to(name) && now >= peer.retry.next)
            connect(name, peer);
    }
}

mesh::mesh(event_loop& loop, entry_incarnation self, mesh_limits limits,
           mesh_handlers handlers)
    : state_(new state{loop, self, limits, std::move(handlers),
                       random_engine(seed_of(self))})
{
    state_->tick.start_every(tick_of(limits));
}

mesh::~mesh()
{
    while (!state_->links.empty())
        state_->drop(*state_->links.begin()->second);
}

address mesh::listen(const address& where)
{
    auto target = detail::to_socket_address(where);
    state_->listener.reset(evconnlistener_new_bind(
        state_->loop.base(), &state::handle_accept, state_.get(),
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
        listen_backlog, target.get(), target.length));
    if (!state_->listener)
        throw error("listen for entries", to_string(where),
                    detail::last_error_text());
    auto socket = evconnlistener_get_fd(state_->listener.get());
    state_->listening = detail::local_address(socket);
    return state_->listening;
}

void mesh::set_peers(const std::vector<mesh_peer>& peers)
{
    std::map<entry_id, address> wanted;
    for (const auto& peer : peers)
        if (peer.name != state_->self.name)
            wanted.emplace(peer.name, peer.where);
    std::vector<entry_incarnation> down;
    for (auto item = state_->peers.begin(); item != state_->peers.end();) {
        auto& [name, peer] = *item;
        if (wanted.contains(name)) {
            ++item;
            continue;
        }
        if (peer.up)
            down.push_back(peer.up->hello()->who);
        for (auto* link : {peer.up, peer.opening})
            if (link)
                state_->drop(*link);
        item = state_->peers.erase(item);
    }
    for (auto& [name, where] : wanted)
        state_->peers[name].where = where;
    std::erase_if(state_->suspects, [&](const auto& item) {
        return !wanted.contains(item.first.name);
    });
    state_->try_peers(state_->loop.now());
    for (const auto& who : down)
        state_->notify.on_down(who);
}

bool mesh::send(const entry_id& peer, const nlohmann::json& message)
{
    auto found = state_->peers.find(peer);
    return found != state_->peers.end() && found->second.up &&
           found->second.up->send(message);
}

std::vector<entry_incarnation> mesh::up() const
{
    std::vector<entry_incarnation> list;
    for (const auto& [name, peer] : state_->peers)
        if (peer.up)
            list.push_back(peer.up->hello()->who);
    return list;
}

std::uint64_t mesh::bytes_sent() const
{
    return state_->counters.sent;
}

std::uint64_t mesh::bytes_received() const
{
    return state_->counters.received;
}

} // namespace vanillapost::io
