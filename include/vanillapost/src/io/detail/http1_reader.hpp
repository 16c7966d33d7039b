#ifndef VANILLAPOST_SRC_IO_DETAIL_HTTP1_READER_HPP
#define VANILLAPOST_SRC_IO_DETAIL_HTTP1_READER_HPP

#include "../http_message.hpp"

#include <cstdint>
#include <functional>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace vanillapost::io::detail {

/// First line and headers of a message.
struct message_head
{
    std::string method; ///< of a request
    std::string target; ///< of a request: path and query
    int status = 0;     ///< of an answer
    header_list headers;
    bool keep_alive = true;
    bool is_1_0 = false;               ///< of a peer that knows no chunks
    bool ends_with_connection = false; ///< an answer without a length
};

/// Called while bytes are read; `on_complete` ends a message.
struct message_handlers
{
    std::function<void(message_head&&)> on_head;
    std::function<void(std::string_view)> on_body;
    std::function<void()> on_complete;
};

enum class message_side
{
    request,
    answer
};

/// What reading some bytes came to.
enum class read_result
{
    need_more,
    complete, ///< one message has ended; later bytes were left
    malformed,
    headers_too_large, ///< or what stands before them
    framing_too_large  ///< sizes and extensions of chunks, and trailers
};

/// Reads HTTP/1.1 messages one after the other; http_parser does the parsing.
///
/// Whatever a peer sends without end is bounded here, but for the body itself:
/// blank lines before a head and the head, the lines between two pieces of a
/// chunked body, and its trailers.
///
/// evhttp was not taken on the way of callers and targets: it answers
/// pipelined requests one at a time, and hides from its user the bytes that
/// follow an answer.
class http1_reader
{
public:
    http1_reader(message_side side, message_handlers handlers);
    http1_reader(const http1_reader&) = delete;
    http1_reader& operator=(const http1_reader&) = delete;

    /// Of names and values. Separators may make up as much again.
    void set_max_header_bytes(std::size_t limit)
    {
        max_header_bytes_ = limit;
    }

    /// Bytes of one line between two pieces of a chunked body, and of all
    /// trailers.
    static constexpr std::size_t max_framing_bytes = 8 * 1024;

    /// The next answer has no body whatever its headers say.
    void expect_no_body(bool value)
    {
        no_body_ = value;
    }

    /// Reads up to the end of one message.
    /// \param[out] used  bytes taken
    read_result read(std::string_view bytes, std::size_t& used);

    /// The peer ended its side. Completes an answer without a length.
    /// \return whether no message was broken off
    bool finish();

    /// Whether a message has begun and not ended.
    bool in_message() const
    {
        return in_message_;
    }

    /// Bytes that the head takes that is being read, in parsed form. Zero once
    /// it was handed over.
    std::size_t held_bytes() const;

    /// Frees the head that is being read; nothing can be read afterwards.
    void forget()
    {
        head_ = {};
        header_bytes_ = 0;
    }

private:
    static http1_reader& self(http_parser* parser);
    static int on_begin(http_parser* parser);
    static int on_url(http_parser* parser, const char* at, std::size_t length);
    static int on_field(http_parser* parser, const char* at,
                        std::size_t length);
    static int on_value(http_parser* parser, const char* at,
                        std::size_t length);
    static int on_headers(http_parser* parser);
    static int on_body(http_parser* parser, const char* at, std::size_t length);
    static int on_chunk(http_parser* parser);
    static int on_complete(http_parser* parser);

    bool count_header(std::size_t bytes);
    bool in_chunk() const;
    std::string_view next_part(std::string_view bytes) const;
    read_result check_lines(std::string_view part);
    bool has_lone_cr(std::string_view part);
    bool breaks_chunk_lines(std::string_view part);

    http_parser parser_{};
    message_handlers handlers_;
    message_head head_;
    std::size_t max_header_bytes_ = 16 * 1024;
    std::size_t header_bytes_ = 0;
    bool in_value_ = false;
    bool in_message_ = false;
    bool complete_ = false;
    bool no_body_ = false;
    bool headers_done_ = false;
    bool after_cr_ = false; ///< within a head, or between chunks
    bool chunked_ = false;
    std::uint64_t chunk_left_ = 0;  ///< bytes of the chunk that is read
    std::size_t line_end_left_ = 0; ///< of the CR LF behind a chunk
    bool line_ended_with_cr_ = false;
    std::size_t line_bytes_ = 0; ///< outside of bodies, since the last piece
    bool headers_too_large_ = false;
};

} // namespace vanillapost::io::detail

#endif
