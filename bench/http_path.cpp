// Cost of a relayed HTTP call in the I/O layer, against a relay written on
// plain evhttp. Each role is a process of its own; bench/http_path.sh runs
// them together.

#include "vanillapost/io.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sys/resource.h>

namespace {

using namespace vanillapost;
using namespace vanillapost::io;
using exchange_ptr = std::unique_ptr<server_exchange>;

constexpr duration call_timeout = std::chrono::seconds(10);
constexpr std::size_t max_connections = 1024;

double cpu_seconds()
{
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    auto seconds = [](const timeval& t) {
        return static_cast<double>(t.tv_sec) +
               static_cast<double>(t.tv_usec) / 1e6;
    };
    return seconds(used.ru_utime) + seconds(used.ru_stime);
}

void report_cpu(const char* role, std::uint64_t calls)
{
    nlohmann::ordered_json line{{"role", role}, {"calls", calls}};
    if (calls > 0)
        line["cpu_us_per_call"] = cpu_seconds() * 1e6 / double(calls);
    std::cout << line.dump() << std::endl;
}

/// Answers at once with a body of a given size.
class target
{
public:
    target(event_loop& loop, const address& where, std::size_t body_bytes)
        : body_(body_bytes, 'x'), server_(loop, {}, [this](exchange_ptr e) {
              e->reply(200, headers_, body_);
          })
    {
        server_.listen(where);
    }

private:
    header_list headers_{{"Target-State", "warm"}};
    std::string body_;
    http_server server_;
};

/// Relays each call over the classes of the I/O layer, streaming the answer.
class relay
{
public:
    relay(event_loop& loop, const address& where, const address& to)
        : client_(loop, to, {max_connections, max_connections}),
          server_(loop, {}, [this](exchange_ptr e) { forward(std::move(e)); })
    {
        server_.listen(where);
    }

    std::uint64_t calls() const
    {
        return next_;
    }

private:
    struct pair
    {
        exchange_ptr exchange;
        std::unique_ptr<http_call> call;
    };

    void forward(exchange_ptr exchange)
    {
        auto id = next_++;
        auto& item = open_[id];
        item.exchange = std::move(exchange);
        auto* to = item.exchange.get();
        to->on_abort([this, id] { open_.erase(id); });
        http_request request{std::string(to->method()), std::string(to->path()),
                             copy(to->headers()), std::string(to->body())};
        call_handlers handlers;
        handlers.on_headers = [to](int status, auto headers) {
            to->start(status, copy(headers));
        };
        handlers.on_data = [to](std::string_view data) { to->write(data); };
        handlers.on_done = [this, to, id] {
            to->finish();
            open_.erase(id);
        };
        handlers.on_failure = [this, id](const auto&) { open_.erase(id); };
        item.call = client_.start(request, std::move(handlers), call_timeout);
    }

    static header_list copy(std::span<const header_field> headers)
    {
        header_list list;
        for (const auto& field : headers)
            if (field.name != "Host" && field.name != "Connection" &&
                field.name != "Transfer-Encoding")
                list.push_back(field);
        return list;
    }

    std::unordered_map<std::uint64_t, pair> open_;
    std::uint64_t next_ = 0;
    http_client client_;
    http_server server_;
};

/// The same on evhttp alone, with whole answers.
class evhttp_relay
{
public:
    evhttp_relay(event_loop& loop, const address& where, address to)
        : loop_(loop), to_(std::move(to)), http_(evhttp_new(loop.base()))
    {
        evhttp_set_default_content_type(http_, nullptr);
        evhttp_set_gencb(http_, &on_request, this);
        evhttp_bind_socket(http_, where.ip.c_str(), where.port);
    }

    std::uint64_t calls() const
    {
        return calls_;
    }

private:
    struct pending
    {
        evhttp_relay* owner;
        evhttp_request* caller;
        evhttp_connection* connection;
    };

    static void copy(evkeyvalq* from, evkeyvalq* to)
    {
        for (evkeyval* h = from->tqh_first; h; h = h->next.tqe_next)
            if (std::string_view(h->key) != "Connection" &&
                std::string_view(h->key) != "Transfer-Encoding")
                evhttp_add_header(to, h->key, h->value);
    }

    static void on_request(evhttp_request* caller, void* self)
    {
        static_cast<evhttp_relay*>(self)->forward(caller);
    }

    evhttp_connection* take()
    {
        if (idle_.empty())
            return evhttp_connection_base_new(loop_.base(), nullptr,
                                              to_.ip.c_str(), to_.port);
        auto* latest = idle_.back();
        idle_.pop_back();
        return latest;
    }

    void forward(evhttp_request* caller)
    {
        ++calls_;
        auto* item = new pending{this, caller, take()};
        auto* out = evhttp_request_new(&on_answer, item);
        copy(evhttp_request_get_input_headers(caller),
             evhttp_request_get_output_headers(out));
        evhttp_make_request(item->connection, out,
                            evhttp_request_get_command(caller),
                            evhttp_request_get_uri(caller));
    }

    static void on_answer(evhttp_request* answer, void* context)
    {
        std::unique_ptr<pending> item(static_cast<pending*>(context));
        if (!answer) {
            evhttp_send_error(item->caller, HTTP_SERVUNAVAIL, nullptr);
            return;
        }
        copy(evhttp_request_get_input_headers(answer),
             evhttp_request_get_output_headers(item->caller));
        evhttp_send_reply(item->caller,
                          evhttp_request_get_response_code(answer), nullptr,
                          evhttp_request_get_input_buffer(answer));
        item->owner->idle_.push_back(item->connection);
    }

    event_loop& loop_;
    address to_;
    evhttp* http_;
    std::vector<evhttp_connection*> idle_;
    std::uint64_t calls_ = 0;
};

/// Keeps a number of calls in flight for a while and notes their latency.
class load
{
public:
    load(event_loop& loop, const address& to, int in_flight, duration time)
        : loop_(loop), client_(loop, to, {max_connections, max_connections}),
          calls_(static_cast<std::size_t>(in_flight)), begin_(loop.now()),
          end_(begin_ + time)
    {
        for (std::size_t i = 0; i < calls_.size(); ++i)
            send(i);
    }

    void report(const std::string& label)
    {
        std::ranges::sort(latencies_);
        auto at = [this](double share) {
            auto last = static_cast<double>(latencies_.size() - 1);
            return latencies_[static_cast<std::size_t>(share * last)];
        };
        auto seconds = std::chrono::duration<double>(loop_.now() - begin_);
        nlohmann::ordered_json line{
            {"path", label},
            {"in_flight", calls_.size()},
            {"failed", failed_},
            {"calls_per_s",
             static_cast<double>(latencies_.size()) / seconds.count()},
            {"p50_us", at(0.5)},
            {"p99_us", at(0.99)},
            {"p999_us", at(0.999)}};
        std::cout << line.dump() << std::endl;
    }

private:
    void send(std::size_t slot)
    {
        auto start = loop_.now();
        call_handlers handlers;
        handlers.on_done = [this, slot, start] {
            latencies_.push_back((loop_.now() - start).count());
            next(slot);
        };
        handlers.on_failure = [this, slot](const auto&) {
            ++failed_;
            next(slot);
        };
        calls_[slot] = client_.start(request_, handlers, call_timeout);
    }

    void next(std::size_t slot)
    {
        if (loop_.now() >= end_)
            return loop_.stop();
        send(slot);
    }

    event_loop& loop_;
    http_client client_;
    http_request request_{"GET",
                          "/item?id=17",
                          {{"Deadline-Ms", "500"},
                           {"Request-Id", "0123456789abcdef"},
                           {"User-Agent", "bench"},
                           {"Accept", "application/json"}}};
    std::vector<std::unique_ptr<http_call>> calls_;
    std::vector<std::int64_t> latencies_;
    std::uint64_t failed_ = 0;
    time_point begin_;
    time_point end_;
};

} // namespace

int main(int argc, char** argv)
{
    std::string role, listen = "127.0.0.1:0", to = "127.0.0.1:0", label;
    int in_flight = 1;
    double seconds = 3;
    std::size_t body_bytes = 512;
    CLI::App app("One process of the benchmark of a relayed HTTP call");
    app.add_option("role", role, "target, relay, evhttp-relay or load")
        ->required();
    app.add_option("--listen", listen, "Address to listen on");
    app.add_option("--to", to, "Address to call");
    app.add_option("--label", label, "Name of the path in the report");
    app.add_option("--in-flight", in_flight, "Calls in flight at a time");
    app.add_option("--seconds", seconds, "Length of the load");
    app.add_option("--body-bytes", body_bytes, "Size of an answer");
    CLI11_PARSE(app, argc, argv);

    event_loop loop;
    loop.on_signal(SIGTERM, [&] { loop.stop(); });
    auto where = parse_address(listen);
    auto peer = parse_address(to);
    if (role == "target") {
        target served(loop, where, body_bytes);
        loop.run();
    } else if (role == "relay") {
        relay relayed(loop, where, peer);
        loop.run();
        report_cpu("relay", relayed.calls());
    } else if (role == "evhttp-relay") {
        evhttp_relay relayed(loop, where, peer);
        loop.run();
        report_cpu("evhttp-relay", relayed.calls());
    } else {
        auto time = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(seconds));
        load run(loop, peer, in_flight, time);
        loop.run();
        run.report(label);
    }
}
