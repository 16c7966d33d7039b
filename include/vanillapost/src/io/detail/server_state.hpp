#ifndef VANILLAPOST_SRC_IO_DETAIL_SERVER_STATE_HPP
#define VANILLAPOST_SRC_IO_DETAIL_SERVER_STATE_HPP

#include "../http_server.hpp"
#include "held_stream.hpp"

#include <cstdint>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// What http_server and its exchanges share.
namespace vanillapost::io {

namespace detail {

/// One caller's connection, from its first request until it closes.
struct server_connection
{
    http_server::state* owner = nullptr;
    evhttp_connection* handle = nullptr;
    evhttp_request* request = nullptr; ///< null between requests
    server_exchange::state* exchange = nullptr;
};

} // namespace detail

struct server_exchange::state
{
    /// Null once the connection closed or the answer is finished.
    detail::server_connection* connection = nullptr;
    evhttp_cmd_type type = EVHTTP_REQ_GET;
    std::string target;
    header_list headers;
    std::string body;
    std::string peer;
    std::function<void()> on_abort;
    std::function<void()> on_drained;
    /// Bytes of a Content-Length still to come; absent when chunked.
    std::optional<std::uint64_t> remaining;
    bool body_wanted = true;

    bufferevent* stream() const
    {
        return evhttp_connection_get_bufferevent(connection->handle);
    }

    evhttp_request* request() const
    {
        return connection->request;
    }

    void detach();
    void close();
    void flush();
    void add_headers(std::span<const header_field> list);
    void add_length(std::span<const header_field> given, std::size_t bytes);
    void drained();
};

struct http_server::state
{
    event_loop& loop;
    http_server_limits limits;
    handler handle;
    std::unique_ptr<evhttp, decltype(&evhttp_free)> http{nullptr, &evhttp_free};
    std::vector<evhttp_bound_socket*> bound = {};
    std::unordered_map<evhttp_connection*,
                       std::unique_ptr<detail::server_connection>>
        connections = {};
    std::size_t in_flight = 0;
    bool stopping = false;
    client_ledger own_ledger = {}; ///< where none is shared
    detail::stream_host stream_host = {};
    std::unordered_map<bufferevent*, std::unique_ptr<detail::held_stream>>
        streams = {};
    std::unique_ptr<timer> sweep = {};

    void configure();
    void take_stream(bufferevent* stream);
    detail::held_stream* stream_of(evhttp_connection* handle);
    void check_streams();
    void check_time(detail::held_stream& stream, time_point now);
    void accept_request(evhttp_request* request);
    bool refuse_excess(evhttp_request* request);
    detail::server_connection& connection_of(evhttp_request* request);
    void request_ended(detail::server_connection& connection);
    void connection_closed(detail::server_connection& connection);
};

} // namespace vanillapost::io

#endif
