#ifndef VANILLAPOST_SRC_IO_DETAIL_HELD_STREAM_HPP
#define VANILLAPOST_SRC_IO_DETAIL_HELD_STREAM_HPP

#include "../client_ledger.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <functional>

namespace vanillapost::io::detail {

/// What a stream of an `http_server` needs of it.
struct stream_host
{
    client_ledger* ledger = nullptr;
    std::size_t max_head_bytes = 0; ///< as they came
    std::function<time_point()> now;
};

/// The stream of one connection of an `http_server`, in the ledger.
///
/// evhttp tells of a connection only with its first request, and not when it
/// frees it before: that is seen when the stream has no callback any more.
class held_stream : public ledger_member
{
public:
    held_stream(const stream_host& host, bufferevent* stream);
    ~held_stream() override;

    client_hold hold() const override;

    /// Has evhttp free the connection, as if its client had closed it. Not to
    /// be called while it is on the stack.
    void close_for_room() override;

    /// Whether evhttp has freed it.
    bool is_closed() const;

    /// Reads and writes no more, and holds nothing. To be called when evhttp
    /// frees the connection, which then is closed with this object.
    void stop();

    void begin_request()
    {
        is_working_ = true;
    }

    /// The answer has gone out.
    void end_request();

    bufferevent* stream() const
    {
        return stream_;
    }

private:
    static void on_input(evbuffer* input, const evbuffer_cb_info* info,
                         void* self);
    static void on_output(evbuffer* output, const evbuffer_cb_info* info,
                          void* self);
    void take_input(const evbuffer_cb_info& info);
    std::size_t input_bytes() const;
    std::size_t output_bytes() const;
    std::size_t held_bytes() const;
    void note_held();
    void drop_buffers();

    const stream_host& host_;
    bufferevent* stream_;
    std::size_t parsed_bytes_ = 0; ///< of the present request, as they came
    bool is_working_ = false;
    bool had_request_ = false;
    time_point since_{}; ///< it was accepted or idle, or the request began
    time_point unread_since_{}; ///< the output was empty before
};

} // namespace vanillapost::io::detail

#endif
