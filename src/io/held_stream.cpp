#include "vanillapost/src/io/detail/held_stream.hpp"

#include <algorithm>
#include <event2/event.h>
#include <sys/socket.h>

namespace vanillapost::io::detail {

namespace {

/// Bytes that evhttp takes for each byte of a head: for a field of four bytes
/// an object, and one allocation each for its name and its value.
constexpr std::size_t parsed_factor = 28;

} // namespace

held_stream::held_stream(const stream_host& host, bufferevent* stream)
    : host_(host), stream_(stream), since_(host.now())
{
    bufferevent_incref(stream_);
    evbuffer_add_cb(bufferevent_get_input(stream_), &on_input, this);
    evbuffer_add_cb(bufferevent_get_output(stream_), &on_output, this);
    host_.ledger->add(*this);
}

held_stream::~held_stream()
{
    host_.ledger->remove(*this);
    evbuffer_remove_cb(bufferevent_get_input(stream_), &on_input, this);
    evbuffer_remove_cb(bufferevent_get_output(stream_), &on_output, this);
    bufferevent_decref(stream_);
}

bool held_stream::is_closed() const
{
    bufferevent_event_cb on_event = nullptr;
    bufferevent_getcb(stream_, nullptr, nullptr, &on_event, nullptr);
    return on_event == nullptr;
}

client_hold held_stream::hold() const
{
    const auto bytes = held_bytes();
    if (output_bytes() > 0)
        return {bytes, client_state::unread, unread_since_};
    if (is_working_)
        return {bytes, client_state::working, since_};
    const bool is_idle =
        had_request_ && parsed_bytes_ == 0 && input_bytes() == 0;
    return {bytes, is_idle ? client_state::idle : client_state::reading,
            since_};
}

void held_stream::close_for_room()
{
    host_.ledger->remove(*this);
    if (!is_closed())
        bufferevent_trigger_event(stream_, BEV_EVENT_READING | BEV_EVENT_EOF,
                                  0);
    if (is_closed())
        stop();
}

// This object keeps the stream alive, which would read on.
void held_stream::stop()
{
    host_.ledger->remove(*this);
    bufferevent_disable(stream_, EV_READ | EV_WRITE);
    drop_buffers();
    ::shutdown(bufferevent_getfd(stream_), SHUT_WR);
}

void held_stream::drop_buffers()
{
    auto* input = bufferevent_get_input(stream_);
    evbuffer_drain(input, evbuffer_get_length(input));
    // The bufferevent keeps the front of its output from being changed.
    auto* output = bufferevent_get_output(stream_);
    evbuffer_unfreeze(output, 1);
    evbuffer_drain(output, evbuffer_get_length(output));
    evbuffer_freeze(output, 1);
}

void held_stream::end_request()
{
    is_working_ = false;
    had_request_ = true;
    parsed_bytes_ = 0;
    since_ = host_.now();
    note_held();
}

void held_stream::on_input(evbuffer*, const evbuffer_cb_info* info, void* self)
{
    static_cast<held_stream*>(self)->take_input(*info);
}

void held_stream::take_input(const evbuffer_cb_info& info)
{
    if (is_closed()) {
        if (info.n_added > 0)
            stop();
        return;
    }
    const auto now = host_.now();
    if (parsed_bytes_ == 0 && info.orig_size == 0 && !is_working_)
        since_ = now;
    if (!is_working_)
        parsed_bytes_ += info.n_deleted;
    note_held();
    if (info.n_added == 0 || host_.ledger->make_room(*this, now))
        return;
    // evhttp is on the stack.
    host_.ledger->remove(*this);
    bufferevent_trigger_event(stream_, BEV_EVENT_READING | BEV_EVENT_EOF,
                              BEV_TRIG_DEFER_CALLBACKS);
}

void held_stream::on_output(evbuffer*, const evbuffer_cb_info* info, void* self)
{
    auto& stream = *static_cast<held_stream*>(self);
    if (info->orig_size == 0 && info->n_added > 0)
        stream.unread_since_ = stream.host_.now();
    stream.note_held();
}

std::size_t held_stream::input_bytes() const
{
    return evbuffer_get_length(bufferevent_get_input(stream_));
}

std::size_t held_stream::output_bytes() const
{
    return evbuffer_get_length(bufferevent_get_output(stream_));
}

// A head takes more than its bytes, and a body does not.
std::size_t held_stream::held_bytes() const
{
    const auto head = std::min(parsed_bytes_, host_.max_head_bytes);
    return head * parsed_factor + (parsed_bytes_ - head) + input_bytes() +
           output_bytes();
}

void held_stream::note_held()
{
    host_.ledger->note(*this, held_bytes());
}

} // namespace vanillapost::io::detail
