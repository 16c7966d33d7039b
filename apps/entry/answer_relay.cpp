#include "answer_relay.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace vanillapost::entry {

namespace {

/// Bytes that may wait for a slow caller before the target is paused.
constexpr std::size_t max_pending_bytes = 256 * 1024;

constexpr std::array<std::string_view, 9> hop_headers = {
    "Connection", "Keep-Alive", "Proxy-Connection",
    "Trailer",    "Upgrade",    "Transfer-Encoding",
    "Not-Placed", "Date",       "Request-Id"};

bool is_hop_header(std::string_view name)
{
    return std::any_of(hop_headers.begin(), hop_headers.end(),
                       [&](std::string_view each) {
                           return io::same_header_name(each, name);
                       });
}

std::uint64_t read_number(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::uint64_t content_length(const attempt& from)
{
    const auto text = io::find_header(from.headers, "Content-Length");
    return text ? read_number(*text) : 0;
}

/// First byte of "bytes 100-199/1000"; nothing when it is not of that form.
std::optional<std::uint64_t> range_start(const attempt& from)
{
    constexpr std::string_view unit = "bytes ";
    const auto text = io::find_header(from.headers, "Content-Range");
    if (!text || !text->starts_with(unit))
        return std::nullopt;
    return read_number(text->substr(unit.size()));
}

std::string strong_etag(const attempt& from)
{
    const auto etag = io::find_header(from.headers, "ETag");
    const bool strong = etag && !etag->starts_with("W/");
    return strong ? std::string(*etag) : std::string();
}

io::header_list headers_for_caller(const call& request, const attempt& from,
                                   bool buffered)
{
    io::header_list result;
    for (const auto& header : from.headers) {
        const bool length = io::same_header_name(header.name, "Content-Length");
        const bool set_by_server =
            length && buffered && request.request.method != "HEAD";
        if (!is_hop_header(header.name) && !set_by_server)
            result.push_back(header);
    }
    result.push_back({"Request-Id", request.request_id});
    return result;
}

void set_header(io::header_list& headers, std::string_view name,
                std::string value)
{
    std::erase_if(headers, [&](const auto& each) {
        return io::same_header_name(each.name, name);
    });
    headers.push_back({std::string(name), std::move(value)});
}

} // namespace

bool has_to_stream(const call& request, const attempt& from)
{
    return request.request.method != "HEAD" &&
           (content_length(from) > max_buffered_bytes ||
            from.body.size() > max_buffered_bytes);
}

void start_streaming(call& request, attempt& from)
{
    auto& answer = request.answer;
    answer.streaming = true;
    answer.etag = strong_etag(from);
    answer.expected = content_length(from);
    answer.first_byte = from.status == 206 ? range_start(from).value_or(0) : 0;
    request.exchange->start(from.status,
                            headers_for_caller(request, from, false));
    const auto body = std::exchange(from.body, {});
    relay(request, from, body);
}

void relay(call& request, attempt& from, std::string_view data)
{
    if (data.empty() || !request.exchange)
        return;
    auto& exchange = *request.exchange;
    request.answer.relayed += data.size();
    exchange.write(data);
    if (exchange.pending_bytes() <= max_pending_bytes)
        return;
    from.io->pause();
    exchange.on_drained([&request] {
        for (auto& each : request.attempts) {
            if (each.number == request.answer.winner)
                each.io->resume();
        }
    });
}

void reply_buffered(call& request, const attempt& from)
{
    if (request.exchange)
        request.exchange->reply(
            from.status, headers_for_caller(request, from, true), from.body);
}

bool can_resume(const call& request)
{
    const auto& answer = request.answer;
    return request.facts.kind == request_class::download &&
           request.request.method == "GET" && !answer.etag.empty() &&
           answer.expected > answer.relayed;
}

void ask_for_rest(call& request)
{
    const auto& answer = request.answer;
    const auto from = answer.first_byte + answer.relayed;
    const auto last = answer.first_byte + answer.expected - 1;
    set_header(request.request.headers, "Range",
               "bytes=" + std::to_string(from) + "-" + std::to_string(last));
    set_header(request.request.headers, "If-Range", answer.etag);
}

bool continues(const call& request, const attempt& from)
{
    const auto& answer = request.answer;
    return from.status == 206 && strong_etag(from) == answer.etag &&
           range_start(from) == answer.first_byte + answer.relayed;
}

} // namespace vanillapost::entry
