#include "vanillapost/src/io/platform_client.hpp"

#include "vanillapost/src/base/error.hpp"
#include "vanillapost/src/io/detail/platform_codec.hpp"
#include "vanillapost/src/io/http_client.hpp"

#include <cstdlib>
#include <event2/http.h>
#include <unordered_map>

namespace vanillapost::io {

namespace {

// A full list of the records of several thousand targets fits in.
constexpr std::size_t max_answer_bytes = 16 * 1024 * 1024;

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;

struct answer
{
    int status = 0;
    std::string body;
};

using answer_or_failure = std::variant<answer, platform_unavailable>;
using on_answer = std::function<void(answer_or_failure)>;

std::string encode(std::string_view text)
{
    std::unique_ptr<char, decltype(&std::free)> encoded(
        evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0),
        &std::free);
    return encoded.get();
}

platform_unavailable unexpected_status(const answer& from)
{
    return {from.status != status_unavailable,
            "status " + std::to_string(from.status)};
}

/// Parses an answer of status 200 by `parse`.
template <class Parse>
auto read_answer(const answer_or_failure& from, Parse parse)
    -> platform_result<decltype(parse(std::string_view()))>
{
    if (auto* failure = std::get_if<platform_unavailable>(&from))
        return *failure;
    const auto& whole = std::get<answer>(from);
    if (whole.status != status_ok)
        return unexpected_status(whole);
    try {
        return parse(whole.body);
    } catch (const error& failure) {
        return platform_unavailable{true, failure.what()};
    }
}

transaction_result read_transaction(const answer_or_failure& from)
{
    auto* whole = std::get_if<answer>(&from);
    if (whole && whole->status == status_conflict) {
        try {
            return detail::parse_transaction_conflict(whole->body);
        } catch (const error& failure) {
            return platform_unavailable{true, failure.what()};
        }
    }
    return std::visit(
        [](auto&& result) -> transaction_result { return result; },
        read_answer(from, detail::parse_transaction_done));
}

} // namespace

struct platform_client::state
{
    struct call
    {
        answer so_far;
        on_answer done;
        std::unique_ptr<http_call> handle;
    };

    event_loop& loop;
    http_client http;
    std::string client_name;
    duration timeout;
    std::unordered_map<std::uint64_t, call> calls = {};
    std::uint64_t next_call = 0;

    void send(http_request request, on_answer done);
    void add_data(std::uint64_t id, std::string_view data);
    void end(std::uint64_t id, answer_or_failure result);
};

void platform_client::state::send(http_request request, on_answer done)
{
    request.headers.push_back({"Client", client_name});
    if (!request.body.empty())
        request.headers.push_back({"Content-Type", "application/json"});
    auto id = next_call++;
    call_handlers handlers;
    handlers.on_headers = [this, id](int status, auto) {
        calls.at(id).so_far.status = status;
    };
    handlers.on_data = [this, id](std::string_view data) {
        add_data(id, data);
    };
    handlers.on_done = [this, id] { end(id, std::move(calls.at(id).so_far)); };
    handlers.on_failure = [this, id](const call_failure& failure) {
        end(id, platform_unavailable{failure.sent, failure.what});
    };
    auto handle = http.start(request, std::move(handlers), timeout);
    calls.emplace(id, call{{}, std::move(done), std::move(handle)});
}

void platform_client::state::add_data(std::uint64_t id, std::string_view data)
{
    auto& body = calls.at(id).so_far.body;
    if (body.size() + data.size() > max_answer_bytes)
        return end(id, platform_unavailable{true, "the answer is too large"});
    body += data;
}

void platform_client::state::end(std::uint64_t id, answer_or_failure result)
{
    auto ended = calls.extract(id);
    ended.mapped().done(std::move(result));
}

platform_client::platform_client(event_loop& loop, address platform,
                                 std::string client_name, duration timeout)
    : state_(new state{loop, http_client(loop, std::move(platform)),
                       std::move(client_name), timeout})
{
}

platform_client::~platform_client() = default;

void platform_client::read(std::string_view key, callback<table_row> done)
{
    http_request request;
    request.target = "/v1/table/row?key=" + encode(key);
    state_->send(std::move(request),
                 [key = std::string(key), done](answer_or_failure result) {
                     auto* whole = std::get_if<answer>(&result);
                     if (whole && whole->status == status_not_found)
                         return done(table_row{key, 0, "", std::nullopt});
                     done(read_answer(result, detail::parse_row));
                 });
}

void platform_client::changes(std::string_view prefix, revision since,
                              callback<table_changes> done)
{
    http_request request;
    request.target = "/v1/table/changes?prefix=" + encode(prefix) +
                     "&since=" + std::to_string(since);
    state_->send(std::move(request), [done](const answer_or_failure& result) {
        done(read_answer(result, detail::parse_changes));
    });
}

void platform_client::transact(const table_transaction& transaction,
                               std::function<void(transaction_result)> done)
{
    http_request request;
    request.method = "POST";
    request.target = "/v1/table/transact";
    request.body = detail::render_transaction(transaction);
    state_->send(std::move(request), [done](const answer_or_failure& result) {
        done(read_transaction(result));
    });
}

} // namespace vanillapost::io
