#include "vanillapost/src/io/detail/error_answers.hpp"

#include <charconv>
#include <event2/buffer.h>
#include <event2/event.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace vanillapost::io::detail {

namespace {

constexpr std::string_view content_type = "application/problem+json";
constexpr std::string_view version = "HTTP/1.1 ";
constexpr std::size_t status_digits = 3;
constexpr int first_error_status = 400;

using buffer_ptr = std::unique_ptr<evbuffer, decltype(&evbuffer_free)>;

std::string render(const problem& what)
{
    nlohmann::ordered_json body{
        {"type", "about:blank"}, {"title", what.title}, {"status", what.status},
        {"detail", what.detail}, {"step", "accept"},    {"ran", "no"}};
    if (what.retry_after_s > 0)
        body["retry_after_ms"] = what.retry_after_s * 1000;
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// What evhttp meant to say, by the status line of its page.
problem read_page(std::string_view page)
{
    problem said{0, "", "the request is malformed or larger than allowed"};
    if (!page.starts_with(version))
        return said;
    page.remove_prefix(version.size());
    auto digits = page.substr(0, status_digits);
    std::from_chars(digits.data(), digits.data() + digits.size(), said.status);
    page.remove_prefix(std::min(page.size(), status_digits + 1));
    said.title = page.substr(0, page.find('\r'));
    return said;
}

void replace_page(bufferevent* stream)
{
    evbuffer* out = bufferevent_get_output(stream);
    auto size = evbuffer_get_length(out);
    if (size == 0)
        return;
    auto* page = reinterpret_cast<char*>(evbuffer_pullup(out, -1));
    auto said = read_page({page, size});
    if (said.status < first_error_status)
        return;
    std::string status_line = std::string(version) +
                              std::to_string(said.status) + " " +
                              std::string(said.title);
    auto body = render(said);
    // The connection ends with this answer.
    unwatch_error_pages(stream);
    // The bufferevent keeps the front of its output from being changed.
    evbuffer_unfreeze(out, 1);
    evbuffer_drain(out, size);
    evbuffer_freeze(out, 1);
    evbuffer_add_printf(out,
                        "%s\r\nContent-Type: %s\r\nConnection: close\r\n"
                        "Content-Length: %zu\r\n\r\n%s",
                        status_line.c_str(), content_type.data(), body.size(),
                        body.c_str());
}

void replace_later(evutil_socket_t, short, void* stream)
{
    auto* page_stream = static_cast<bufferevent*>(stream);
    replace_page(page_stream);
    bufferevent_decref(page_stream);
}

// The page is written in several pieces; they are all there on the next turn
// of the loop, before any of them is sent.
void note_output(evbuffer*, const evbuffer_cb_info* info, void* stream)
{
    if (info->n_added == 0 || info->orig_size != 0)
        return;
    auto* page_stream = static_cast<bufferevent*>(stream);
    bufferevent_incref(page_stream);
    event_base_once(bufferevent_get_base(page_stream), -1, EV_TIMEOUT,
                    &replace_later, stream, nullptr);
}

} // namespace

void send_problem(evhttp_request* request, const problem& what)
{
    auto* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Connection", "close");
    evhttp_add_header(headers, "Content-Type", content_type.data());
    if (what.retry_after_s > 0)
        evhttp_add_header(headers, "Retry-After",
                          std::to_string(what.retry_after_s).c_str());
    auto body = render(what);
    buffer_ptr out(evbuffer_new(), &evbuffer_free);
    evbuffer_add(out.get(), body.data(), body.size());
    std::string title(what.title);
    evhttp_send_reply(request, what.status, title.c_str(), out.get());
}

void watch_error_pages(bufferevent* stream)
{
    evbuffer_add_cb(bufferevent_get_output(stream), &note_output, stream);
}

void unwatch_error_pages(bufferevent* stream)
{
    evbuffer_remove_cb(bufferevent_get_output(stream), &note_output, stream);
}

} // namespace vanillapost::io::detail
