#include "vanillapost/src/io/detail/http1_reader.hpp"

#include <algorithm>
#include <climits>

namespace vanillapost::io::detail {

namespace {

constexpr int stop_parsing = -1;
constexpr int skip_body = 1;
// The parser's own limit counts for all connections of a process; the limit
// of one connection is checked here.
constexpr std::uint32_t parser_header_limit = 1024 * 1024;
/// Bytes of a head for each one of its names and values, at the most, and for
/// its first line beside them.
constexpr std::size_t separator_factor = 2;
constexpr std::size_t first_line_slack = 1024;
constexpr int first_final_status = 200;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

// These end with their head, whatever length it names.
bool is_bodyless_answer(const http_parser& parser)
{
    const auto status = static_cast<int>(parser.status_code);
    return parser.type == HTTP_RESPONSE &&
           (status < first_final_status || status == status_no_content ||
            status == status_not_modified);
}

// Whether all who read the message find the same end of it. The parser itself
// refuses a length beside chunks and lengths that differ.
bool has_one_meaning(const message_head& head)
{
    const auto count = [&](std::string_view name) {
        return std::ranges::count_if(head.headers, [&](const auto& field) {
            return same_header_name(field.name, name);
        });
    };
    const auto coding = find_header(head.headers, "Transfer-Encoding");
    const bool plain = !coding || (same_header_name(*coding, "chunked") &&
                                   count("Transfer-Encoding") == 1);
    // The parser takes a space before the colon for a part of the name.
    const bool names = std::ranges::none_of(head.headers, [](const auto& f) {
        return f.name.find(' ') != std::string::npos;
    });
    return plain && names && count("Host") <= 1;
}

// An answer with a body of which no header tells the end.
bool lasts_until_close(const http_parser& parser)
{
    return parser.type == HTTP_RESPONSE && !is_bodyless_answer(parser) &&
           !(parser.flags & F_CHUNKED) && parser.content_length == ULLONG_MAX;
}

} // namespace

// An estimate that takes no time: texts grow to twice what they hold.
std::size_t http1_reader::held_bytes() const
{
    constexpr std::size_t growth = 2;
    return head_.headers.capacity() * sizeof(header_field) +
           growth * header_bytes_;
}

http1_reader::http1_reader(message_side side, message_handlers handlers)
    : handlers_(std::move(handlers))
{
    http_parser_set_max_header_size(parser_header_limit);
    http_parser_init(&parser_, side == message_side::request ? HTTP_REQUEST
                                                             : HTTP_RESPONSE);
    parser_.data = this;
}

read_result http1_reader::read(std::string_view bytes, std::size_t& used)
{
    static const http_parser_settings settings = [] {
        http_parser_settings made;
        http_parser_settings_init(&made);
        made.on_message_begin = &on_begin;
        made.on_url = &on_url;
        made.on_header_field = &on_field;
        made.on_header_value = &on_value;
        made.on_headers_complete = &on_headers;
        made.on_body = &on_body;
        made.on_chunk_header = &on_chunk;
        made.on_message_complete = &on_complete;
        return made;
    }();
    complete_ = false;
    used = 0;
    do {
        const auto part = next_part(bytes.substr(used));
        if (const auto checked = check_lines(part);
            checked != read_result::need_more)
            return checked;
        const auto taken =
            http_parser_execute(&parser_, &settings, part.data(), part.size());
        used += taken;
        if (complete_) {
            http_parser_pause(&parser_, 0);
            return read_result::complete;
        }
        if (headers_too_large_)
            return read_result::headers_too_large;
        const bool failed =
            HTTP_PARSER_ERRNO(&parser_) != HPE_OK || taken != part.size();
        if (failed)
            return read_result::malformed;
    } while (used < bytes.size());
    return read_result::need_more;
}

bool http1_reader::in_chunk() const
{
    return headers_done_ && chunked_ && chunk_left_ > 0;
}

// A line of a head or between chunks, or what there is of a body or a chunk.
std::string_view http1_reader::next_part(std::string_view bytes) const
{
    if (headers_done_ && !chunked_)
        return bytes;
    if (in_chunk())
        return bytes.substr(0, chunk_left_);
    const auto line_end = bytes.find('\n');
    const bool whole = line_end == std::string_view::npos;
    return whole ? bytes : bytes.substr(0, line_end + 1);
}

// Bytes outside of bodies, before they are parsed.
read_result http1_reader::check_lines(std::string_view part)
{
    if (in_chunk() || (headers_done_ && !chunked_))
        return read_result::need_more;
    line_bytes_ += part.size();
    if (headers_done_) {
        if (has_lone_cr(part) || breaks_chunk_lines(part))
            return read_result::malformed;
        return line_bytes_ > max_framing_bytes ? read_result::framing_too_large
                                               : read_result::need_more;
    }
    if (has_lone_cr(part))
        return read_result::malformed;
    const auto limit = separator_factor * max_header_bytes_ + first_line_slack;
    return line_bytes_ > limit ? read_result::headers_too_large
                               : read_result::need_more;
}

// The parser takes any two bytes for the end of a chunk, and reads a line of
// a chunk's size over an LF.
bool http1_reader::breaks_chunk_lines(std::string_view part)
{
    constexpr std::string_view line_end = "\r\n";
    const auto expected = line_end.substr(line_end.size() - line_end_left_)
                              .substr(0, part.size());
    if (!part.starts_with(expected))
        return true;
    line_end_left_ -= expected.size();
    const bool ends = part.ends_with('\n');
    const bool has_cr =
        part.size() == 1 ? line_ended_with_cr_ : part.ends_with("\r\n");
    line_ended_with_cr_ = part.ends_with('\r');
    return ends && !has_cr;
}

// The parser ends a head at a CR whatever follows it.
bool http1_reader::has_lone_cr(std::string_view part)
{
    for (const char c : part) {
        if (after_cr_ && c != '\n')
            return true;
        after_cr_ = c == '\r';
    }
    return false;
}

bool http1_reader::finish()
{
    if (!in_message_)
        return true;
    std::size_t used = 0;
    return read({}, used) == read_result::complete;
}

http1_reader& http1_reader::self(http_parser* parser)
{
    return *static_cast<http1_reader*>(parser->data);
}

int http1_reader::on_begin(http_parser* parser)
{
    auto& reader = self(parser);
    reader.head_ = {};
    reader.header_bytes_ = 0;
    reader.in_value_ = true;
    reader.in_message_ = true;
    reader.headers_done_ = false;
    reader.chunked_ = false;
    reader.chunk_left_ = 0;
    reader.line_end_left_ = 0;
    return 0;
}

bool http1_reader::count_header(std::size_t bytes)
{
    header_bytes_ += bytes;
    headers_too_large_ = header_bytes_ > max_header_bytes_;
    return !headers_too_large_;
}

int http1_reader::on_url(http_parser* parser, const char* at,
                         std::size_t length)
{
    auto& reader = self(parser);
    reader.head_.target.append(at, length);
    return reader.count_header(length) ? 0 : stop_parsing;
}

int http1_reader::on_field(http_parser* parser, const char* at,
                           std::size_t length)
{
    auto& reader = self(parser);
    if (reader.headers_done_)
        return 0; // a trailer
    if (reader.in_value_)
        reader.head_.headers.emplace_back();
    reader.in_value_ = false;
    reader.head_.headers.back().name.append(at, length);
    return reader.count_header(length) ? 0 : stop_parsing;
}

int http1_reader::on_value(http_parser* parser, const char* at,
                           std::size_t length)
{
    auto& reader = self(parser);
    if (reader.headers_done_)
        return 0;
    reader.in_value_ = true;
    reader.head_.headers.back().value.append(at, length);
    return reader.count_header(length) ? 0 : stop_parsing;
}

int http1_reader::on_headers(http_parser* parser)
{
    auto& reader = self(parser);
    reader.headers_done_ = true;
    auto& head = reader.head_;
    // What follows CONNECT is no HTTP: its body would be read as a request.
    const bool tunnel =
        parser->type == HTTP_REQUEST && parser->method == HTTP_CONNECT;
    if (tunnel || !has_one_meaning(head))
        return stop_parsing;
    head.status = static_cast<int>(parser->status_code);
    if (parser->type == HTTP_REQUEST)
        head.method = http_method_str(static_cast<http_method>(parser->method));
    reader.chunked_ = (parser->flags & F_CHUNKED) != 0;
    reader.line_bytes_ = 0;
    reader.line_ended_with_cr_ = false;
    head.is_1_0 = parser->http_major == 1 && parser->http_minor == 0;
    head.keep_alive = http_should_keep_alive(parser) != 0;
    head.ends_with_connection = lasts_until_close(*parser);
    const bool interim =
        parser->type == HTTP_RESPONSE && head.status < first_final_status;
    const bool no_body =
        is_bodyless_answer(*parser) || (reader.no_body_ && !interim);
    reader.header_bytes_ = 0;
    reader.handlers_.on_head(std::move(head));
    return no_body ? skip_body : 0;
}

int http1_reader::on_body(http_parser* parser, const char* at,
                          std::size_t length)
{
    auto& reader = self(parser);
    if (reader.chunked_) {
        reader.chunk_left_ -= length;
        reader.line_bytes_ = 0;
        reader.line_end_left_ = reader.chunk_left_ == 0 ? 2 : 0;
    }
    reader.handlers_.on_body({at, length});
    return 0;
}

// Its size was read; the last one has none.
int http1_reader::on_chunk(http_parser* parser)
{
    self(parser).chunk_left_ = parser->content_length;
    return 0;
}

int http1_reader::on_complete(http_parser* parser)
{
    auto& reader = self(parser);
    reader.in_message_ = false;
    reader.headers_done_ = false;
    reader.complete_ = true;
    reader.chunked_ = false;
    reader.line_bytes_ = 0;
    // Bytes behind a message are for the next call.
    http_parser_pause(parser, 1);
    reader.handlers_.on_complete();
    return 0;
}

} // namespace vanillapost::io::detail
