#include "vanillapost/src/io/detail/websocket_session.hpp"

#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace vanillapost::io::detail {

namespace {

using websocketpp::connection_hdl;
using websocketpp::lib::error_code;

/// The library's core configuration without locks and log output.
template <class Base>
struct quiet_config : Base
{
    using type = quiet_config;
    using concurrency_type = websocketpp::concurrency::none;
    using request_type = typename Base::request_type;
    using response_type = typename Base::response_type;
    using message_type = typename Base::message_type;
    using con_msg_manager_type = typename Base::con_msg_manager_type;
    using endpoint_msg_manager_type = typename Base::endpoint_msg_manager_type;
    using elog_type =
        websocketpp::log::basic<concurrency_type, websocketpp::log::elevel>;
    using alog_type =
        websocketpp::log::basic<concurrency_type, websocketpp::log::alevel>;
    using rng_type =
        websocketpp::random::random_device::int_generator<std::uint32_t,
                                                          concurrency_type>;

    struct transport_config : Base::transport_config
    {
        using concurrency_type = type::concurrency_type;
        using elog_type = type::elog_type;
        using alog_type = type::alog_type;
        using request_type = type::request_type;
        using response_type = type::response_type;
    };
    using transport_type =
        websocketpp::transport::iostream::endpoint<transport_config>;

    static const websocketpp::log::level elog_level =
        websocketpp::log::elevel::none;
    static const websocketpp::log::level alog_level =
        websocketpp::log::alevel::none;
    static const std::size_t max_http_body_size = 0;
};

using server_endpoint =
    websocketpp::server<quiet_config<websocketpp::config::core>>;
using client_endpoint =
    websocketpp::client<quiet_config<websocketpp::config::core_client>>;

/// One side of a connection, client's or server's.
struct side
{
    virtual ~side() = default;
    virtual void start() = 0;
    virtual bool read(const char* data, std::size_t size) = 0;
    virtual bool send(const void* data, std::size_t size) = 0;
    virtual void ping() = 0;
};

server_endpoint::connection_ptr make_connection(server_endpoint& endpoint,
                                                const std::string&)
{
    return endpoint.get_connection();
}

client_endpoint::connection_ptr make_connection(client_endpoint& endpoint,
                                                const std::string& uri)
{
    error_code failure;
    return endpoint.get_connection(uri, failure);
}

template <class Endpoint>
class side_of : public side
{
public:
    side_of(const std::string& uri, std::size_t max_message_bytes,
            websocket_handlers& handlers)
        : connection_(make_connection(endpoint_, uri)), handlers_(handlers)
    {
        connection_->set_max_message_size(max_message_bytes);
        connection_->set_write_handler(
            [this](connection_hdl, const char* data, std::size_t size) {
                handlers_.write(data, size);
                return error_code();
            });
        connection_->set_open_handler(
            [this](connection_hdl) { handlers_.on_open(); });
        connection_->set_message_handler(
            [this](connection_hdl, typename Endpoint::message_ptr message) {
                receive(*message);
            });
        auto fail = [this](connection_hdl) { handlers_.on_failure(); };
        connection_->set_fail_handler(fail);
        connection_->set_close_handler(fail);
    }

    ~side_of() override
    {
        // Ends the read that keeps the connection alive by itself.
        connection_->eof();
    }

    void start() override
    {
        connection_->start();
    }

    bool read(const char* data, std::size_t size) override
    {
        return connection_->read_all(data, size) == size;
    }

    bool send(const void* data, std::size_t size) override
    {
        return !connection_->send(data, size,
                                  websocketpp::frame::opcode::binary);
    }

    void ping() override
    {
        error_code ignored;
        connection_->ping("", ignored);
    }

private:
    template <class Message>
    void receive(const Message& message)
    {
        if (message.get_opcode() == websocketpp::frame::opcode::binary)
            handlers_.on_message(message.get_payload());
        else
            handlers_.on_failure();
    }

    Endpoint endpoint_;
    typename Endpoint::connection_ptr connection_;
    websocket_handlers& handlers_;
};

} // namespace

struct websocket_session::state
{
    websocket_handlers handlers;
    std::unique_ptr<side> connection;

    void open(const std::string& uri, std::size_t max_message_bytes)
    {
        if (uri.empty())
            connection = std::make_unique<side_of<server_endpoint>>(
                uri, max_message_bytes, handlers);
        else
            connection = std::make_unique<side_of<client_endpoint>>(
                uri, max_message_bytes, handlers);
    }
};

websocket_session::websocket_session(const std::string& uri,
                                     std::size_t max_message_bytes,
                                     websocket_handlers handlers)
    : state_(std::make_unique<state>())
{
    state_->handlers = std::move(handlers);
    state_->open(uri, max_message_bytes);
}

websocket_session::~websocket_session()
{
    auto quiet = [](auto&&...) {};
    state_->handlers = {quiet, quiet, quiet, quiet};
    state_->connection.reset();
}

void websocket_session::start()
{
    state_->connection->start();
}

bool websocket_session::read(const char* data, std::size_t size)
{
    return state_->connection->read(data, size);
}

bool websocket_session::send(const void* data, std::size_t size)
{
    return state_->connection->send(data, size);
}

void websocket_session::ping()
{
    state_->connection->ping();
}

} // namespace vanillapost::io::detail
