#include "vanillapost/src/io/http_client.hpp"

#include "vanillapost/src/io/detail/client_connection.hpp"

#include <unordered_map>
#include <utility>
#include <vector>

namespace vanillapost::io {

using detail::client_connection;

struct http_call::state
{
    client_connection* connection = nullptr; ///< null once ended
    http_client::state* owner = nullptr;
};

struct http_client::state
{
    event_loop& loop;
    address peer;
    http_client_limits limits;
    std::unordered_map<client_connection*, std::unique_ptr<client_connection>>
        connections = {};
    std::unordered_map<client_connection*, http_call::state*> calls = {};
    std::vector<client_connection*> idle = {}; ///< the latest used is last
    timer sweep{loop, [this] { close_old(); }};

    client_connection& take();
    client_connection& open();
    void settle(client_connection& connection, bool reusable);
    void close(client_connection& connection);
    void close_old();
};

client_connection& http_client::state::open()
{
    auto made = std::make_unique<client_connection>(
        loop, peer, limits, [this](client_connection& connection, bool keep) {
            settle(connection, keep);
        });
    auto& opened = *made;
    connections.emplace(&opened, std::move(made));
    return opened;
}

client_connection& http_client::state::take()
{
    while (!idle.empty()) {
        auto& latest = *idle.back();
        idle.pop_back();
        if (latest.is_reusable())
            return latest;
        close(latest);
    }
    return open();
}

void http_client::state::settle(client_connection& connection, bool reusable)
{
    auto call = calls.find(&connection);
    if (call != calls.end()) {
        call->second->connection = nullptr;
        calls.erase(call);
    }
    if (!reusable || idle.size() >= limits.max_idle_connections)
        return close(connection);
    if (idle.empty())
        sweep.start_once(limits.idle_timeout);
    idle.push_back(&connection);
}

void http_client::state::close(client_connection& connection)
{
    std::erase(idle, &connection);
    auto found = connections.find(&connection);
    if (found == connections.end())
        return;
    connection.abandon();
    loop.dispose(std::move(found->second));
    connections.erase(found);
}

void http_client::state::close_old()
{
    auto oldest_kept = loop.now() - limits.idle_timeout;
    while (!idle.empty() && idle.front()->idle_since() <= oldest_kept)
        close(*idle.front());
    if (!idle.empty())
        sweep.start_once(idle.front()->idle_since() - oldest_kept);
}

http_call::http_call(std::unique_ptr<state> impl) : state_(std::move(impl))
{
}

http_call::~http_call()
{
    cancel();
}

void http_call::cancel()
{
    auto* connection = std::exchange(state_->connection, nullptr);
    if (!connection)
        return;
    state_->owner->calls.erase(connection);
    state_->owner->close(*connection);
}

void http_call::pause()
{
    if (state_->connection)
        state_->connection->pause();
}

void http_call::resume()
{
    if (state_->connection)
        state_->connection->resume();
}

http_client::http_client(event_loop& loop, address peer,
                         http_client_limits limits)
    : state_(new state{loop, std::move(peer), limits})
{
}

http_client::~http_client()
{
    for (auto& [connection, call] : state_->calls)
        call->connection = nullptr;
    state_->calls.clear();
    while (!state_->connections.empty())
        state_->close(*state_->connections.begin()->first);
}

std::unique_ptr<http_call> http_client::start(const http_request& request,
                                              call_handlers handlers,
                                              duration timeout)
{
    bool full = state_->idle.empty() &&
                state_->connections.size() >= state_->limits.max_connections;
    auto& connection = full ? state_->open() : state_->take();
    auto call = std::make_unique<http_call::state>();
    call->connection = &connection;
    call->owner = state_.get();
    state_->calls.emplace(&connection, call.get());
    auto made = std::make_unique<http_call>(std::move(call));
    if (full)
        connection.fail_later(std::move(handlers),
                              {call_failure_kind::connect_timeout, false,
                               "all connections to the peer are in use"});
    else
        connection.send(request, std::move(handlers), timeout);
    return made;
}

std::size_t http_client::open_connections() const
{
    return state_->connections.size();
}

} // namespace vanillapost::io
