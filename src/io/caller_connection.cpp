#include "vanillapost/src/io/detail/caller_connection.hpp"

#include "vanillapost/src/base/number_text.hpp"
#include "vanillapost/src/io/detail/socket.hpp"

#include <algorithm>
#include <event2/event.h>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace vanillapost::io::detail {

namespace {

using namespace std::chrono_literals;

/// Callers reuse connections for a part of the idle time-out; this keeps our
/// close clear of their last use.
constexpr duration idle_slack = 500ms;
/// How long a connection that we have closed may go on sending, once its caller
/// has all bytes. Closing it with bytes unread would reset it and lose the
/// answer on its way.
constexpr duration linger = 1s;
/// Our own end of a connection counts as a byte until the caller has it.
constexpr int bytes_of_the_end = 1;
/// A request that takes longer to arrive has no caller who waits for it.
constexpr duration longest_reading = 60s;
constexpr int status_bad_request = 400;
constexpr int status_timeout = 408;
constexpr int status_too_large = 413;
constexpr int status_headers_too_large = 431;
constexpr int status_unavailable = 503;
/// Bodies up to this size need no room of the \ref body_budget.
constexpr std::size_t small_body_bytes = std::size_t{64} * 1024;
/// Bytes of requests that wait before they are parsed.
constexpr std::size_t max_unparsed_bytes = std::size_t{64} * 1024;
/// Bytes of answers that a client has yet to take, above which its further
/// requests wait. A streamed answer pauses at as many.
constexpr std::size_t max_unread_bytes = std::size_t{256} * 1024;

caller_connection& connection_of(void* self)
{
    return *static_cast<caller_connection*>(self);
}

// Texts that are stored within their object count with it.
std::size_t text_bytes(const std::string& text)
{
    static const std::size_t inside = std::string().capacity();
    return text.capacity() <= inside ? 0 : text.capacity();
}

// Of a request without its body.
std::size_t request_bytes(const http_request& request)
{
    std::size_t bytes = request.headers.capacity() * sizeof(header_field) +
                        text_bytes(request.target);
    for (const auto& field : request.headers)
        bytes += text_bytes(field.name) + text_bytes(field.value);
    return bytes;
}

} // namespace

std::string format_answer_head(int status, const header_list& headers,
                               std::string_view framing, bool close)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ' +
                       http_status_str(static_cast<http_status>(status)) +
                       "\r\n";
    for (const auto& field : headers) {
        if (is_hop_header(field.name))
            continue;
        text += field.name;
        text += ": ";
        text += field.value;
        text += "\r\n";
    }
    text += framing;
    if (close)
        text += "Connection: close\r\n";
    text += "\r\n";
    return text;
}

caller_connection::caller_connection(connection_host& host,
                                     evutil_socket_t socket)
    : host_(host),
      reader_(message_side::request,
              {[this](message_head&& head) { take_head(std::move(head)); },
               [this](std::string_view bytes) { take_body(bytes); },
               [this] { take_request(); }})
{
    note_idle();
    set_no_delay(socket);
    stream_.reset(bufferevent_socket_new(host.loop->base(), socket,
                                         BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(stream_.get(), &on_readable, &on_written, &on_event,
                      this);
    evbuffer_add_cb(bufferevent_get_output(stream_.get()), &on_output, this);
    reader_.set_max_header_bytes(host.limits.max_header_bytes);
    bufferevent_setwatermark(stream_.get(), EV_READ, 0, max_unparsed_bytes);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
    host_.ledger->add(*this);
}

caller_connection::~caller_connection()
{
    host_.ledger->remove(*this);
}

// A connection whose callback fails is broken off.
template <class Callback>
void caller_connection::guard(std::string_view step, const Callback& callback)
{
    if (!host_.loop->guard(step, "", callback))
        break_off();
}

void caller_connection::on_readable(bufferevent*, void* self)
{
    auto& connection = connection_of(self);
    connection.guard("read requests", [&] { connection.read_requests(); });
}

void caller_connection::on_written(bufferevent*, void* self)
{
    auto& connection = connection_of(self);
    if (!connection.slots_.empty()) {
        connection.guard("go on", [&] { connection.go_on(); });
        return;
    }
    connection.note_idle();
    connection.guard("close connection", [&] {
        if (!connection.end_.takes_requests())
            connection.close_gracefully();
        else
            connection.close_between_requests();
        connection.go_on();
    });
}

// Requests wait while answers to earlier ones are not read.
void caller_connection::go_on()
{
    if (end_.has_ended() || !end_.takes_requests())
        return;
    hand_over_requests();
    if (end_.has_ended())
        return;
    if (evbuffer_get_length(bufferevent_get_input(stream_.get())) > 0)
        bufferevent_trigger(stream_.get(), EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

void caller_connection::on_event(bufferevent*, short what, void* self)
{
    auto& connection = connection_of(self);
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
        connection.guard("end connection", [&] { connection.end(); });
}

void caller_connection::read_requests()
{
    if (reading_)
        return;
    reading_ = true;
    evbuffer* input = bufferevent_get_input(stream_.get());
    while (!end_.has_ended() && evbuffer_get_length(input) > 0) {
        if (!end_.takes_requests()) {
            evbuffer_drain(input, evbuffer_get_length(input));
            break;
        }
        if (!may_read_on())
            break;
        if (reader_.in_message() && headers_read_ && !has_room_for_body())
            break;
        if (!has_room_to_read())
            break;
        if (!reader_.in_message()) {
            reader_.set_max_header_bytes(host_.limits.max_header_bytes);
            message_since_ = host_.loop->now();
            headers_read_ = false;
        }
        evbuffer_iovec piece{};
        evbuffer_peek(input, -1, nullptr, &piece, 1);
        std::size_t used = 0;
        const auto result = reader_.read(
            {static_cast<const char*>(piece.iov_base), piece.iov_len}, used);
        evbuffer_drain(input, used);
        heard_ = host_.loop->now();
        if (body_too_large_)
            refuse(status_too_large, "the body is larger than allowed");
        else if (result == read_result::malformed ||
                 result == read_result::framing_too_large)
            refuse(status_bad_request, "not an HTTP/1.1 request");
        else if (result == read_result::headers_too_large)
            refuse(status_headers_too_large, "the headers are too large");
    }
    reading_ = false;
    note_held();
}

// Requests that are sent ahead stay unread while there is little room, or while
// answers to earlier ones are unread.
bool caller_connection::may_read_on()
{
    const bool is_ahead = !slots_.empty() && !reader_.in_message();
    if (is_ahead && host_.ledger->is_tight())
        return false;
    return slots_.size() < host_.limits.max_pipelined &&
           unread_bytes() <= max_unread_bytes;
}

// Without room not even what others hold could be freed.
bool caller_connection::has_room_to_read()
{
    note_held();
    if (host_.ledger->make_room(*this, host_.loop->now()))
        return !end_.has_ended();
    if (end_.has_ended())
        return false;
    stop_waiting();
    incoming_.reset();
    refuse(status_unavailable, "no room for so many requests",
           {{"Retry-After", "1"}});
    return false;
}

void caller_connection::take_head(message_head&& head)
{
    headers_read_ = true;
    incoming_ = std::make_unique<caller_slot>();
    incoming_->connection = this;
    incoming_->keep_alive = head.keep_alive;
    incoming_->knows_chunks = !head.is_1_0;
    incoming_->method = head.method;
    incoming_->request.method = std::move(head.method);
    incoming_->request.target = std::move(head.target);
    incoming_->request.headers = std::move(head.headers);
    had_request_ = true;
    const auto length =
        find_header(incoming_->request.headers, "Content-Length");
    body_length_ = length ? parse_number<std::uint64_t>(*length) : std::nullopt;
    wants_go_on_ =
        find_header(incoming_->request.headers, "Expect").has_value();
    incoming_->request_bytes = request_bytes(incoming_->request);
    tell_to_go_on();
}

// A body of unknown length reserves the most that is allowed: what it has can
// then always be completed.
bool caller_connection::has_room_for_body()
{
    if (!incoming_ || incoming_->room)
        return true;
    auto& body = incoming_->request.body;
    const bool is_large = body.size() > small_body_bytes ||
                          body_length_.value_or(0) > small_body_bytes;
    if (!is_large)
        return true;
    if (host_.bodies.is_waiting(this))
        return false;
    const auto most = host_.limits.max_body_bytes;
    const auto bytes = static_cast<std::size_t>(
        std::min<std::uint64_t>(body_length_.value_or(most), most));
    incoming_->room = host_.bodies.reserve(bytes);
    if (!incoming_->room) {
        wait_for_room(bytes);
        return false;
    }
    if (body_length_)
        body.reserve(bytes);
    return true;
}

// Nothing more is read meanwhile, so that the kernel holds its caller back.
void caller_connection::wait_for_room(std::size_t bytes)
{
    waits_since_ = host_.loop->now();
    bufferevent_disable(stream_.get(), EV_READ);
    host_.bodies.wait(this, bytes, [this](body_budget::lease granted) {
        incoming_->room.emplace(std::move(granted));
        heard_ = host_.loop->now();
        message_since_ += heard_ - waits_since_;
        bufferevent_enable(stream_.get(), EV_READ);
        bufferevent_trigger(stream_.get(), EV_READ, BEV_TRIG_DEFER_CALLBACKS);
    });
}

void caller_connection::stop_waiting()
{
    host_.bodies.cancel(this);
    if (incoming_)
        incoming_->room.reset();
}

void caller_connection::check_waiting(time_point now)
{
    if (has_caller_closed()) {
        end();
        return;
    }
    if (now - waits_since_ <= host_.limits.room_timeout)
        return;
    stop_waiting();
    bufferevent_enable(stream_.get(), EV_READ);
    refuse(status_unavailable, "no room for so large a body",
           {{"Retry-After", "1"}});
}

// Behind the answers to earlier requests.
void caller_connection::tell_to_go_on()
{
    constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
    if (!wants_go_on_ || !slots_.empty() || !end_.takes_requests())
        return;
    wants_go_on_ = false;
    bufferevent_write(stream_.get(), go_on.data(), go_on.size());
}

void caller_connection::take_body(std::string_view bytes)
{
    auto& body = incoming_->request.body;
    if (body.size() + bytes.size() > host_.limits.max_body_bytes)
        body_too_large_ = true;
    else
        body.append(bytes);
}

void caller_connection::take_request()
{
    if (body_too_large_)
        return;
    wants_go_on_ = false;
    if (!incoming_->room)
        incoming_->request_bytes += text_bytes(incoming_->request.body);
    slots_.push_back(std::move(incoming_));
    auto& slot = *slots_.back();
    if (!slot.keep_alive)
        end_.take_no_more();
    if (end_.on_request_taken(host_.phase, load()))
        set_last();
    ++host_.in_flight;
    slot.taken_at = host_.loop->now();
    hand_over_requests();
}

// The first one that is not handed over yet, unless one before it holds it.
caller_slot* caller_connection::next_to_hand_over()
{
    if (unread_bytes() > max_unread_bytes)
        return nullptr;
    const bool is_tight = host_.ledger->is_tight();
    bool is_working = false;
    for (const auto& each : slots_) {
        if (!each->is_handed_over)
            return is_tight && is_working ? nullptr : each.get();
        is_working = is_working || !each->finished;
        if (each->holds_followers && !each->finished)
            return nullptr;
    }
    return nullptr;
}

// A request that is answered on the spot may let the next one go.
void caller_connection::hand_over_requests()
{
    if (handing_over_)
        return;
    handing_over_ = true;
    while (auto* next = next_to_hand_over())
        hand_over(*next);
    handing_over_ = false;
}

void caller_connection::hand_over(caller_slot& slot)
{
    slot.is_handed_over = true;
    auto exchange = std::make_unique<caller_exchange>(slot);
    slot.owner = exchange.get();
    // The parser may be on the stack, and it is not made for exceptions. What
    // was dropped on the way ends the connection at its turn.
    host_.loop->guard("take request", "",
                      [&] { host_.handle(std::move(exchange)); });
}

// Answers of earlier requests still go out; what follows is not read.
void caller_connection::refuse(int status, std::string_view reason,
                               header_list headers)
{
    end_.take_no_more();
    auto slot = std::make_unique<caller_slot>();
    const std::string body = std::string(reason) + '\n';
    headers.push_back({"Content-Type", "text/plain"});
    slot->held = format_answer_head(
        status, headers,
        "Content-Length: " + std::to_string(body.size()) + "\r\n", true);
    slot->held += body;
    slot->finished = true;
    slot->is_handed_over = true;
    ++host_.in_flight;
    slots_.push_back(std::move(slot));
    flush();
}

connection_load caller_connection::load() const
{
    const bool newest_begun = !slots_.empty() && slots_.back()->begun;
    return {slots_.size(), newest_begun, reader_.in_message()};
}

void caller_connection::set_last()
{
    slots_.back()->keep_alive = false;
}

bool caller_connection::begin_answer(caller_slot& slot)
{
    if (end_.on_answer_begins(host_.phase, load()))
        set_last();
    slot.begun = true;
    ends_an_answer_ = ends_an_answer_ || slot.until_close;
    // An answer without a length ends with its connection.
    if (!slot.keep_alive)
        end_.take_no_more();
    return !slot.keep_alive;
}

void caller_connection::send(caller_slot& slot, std::string_view bytes)
{
    if (slots_.front().get() != &slot || !slot.held.empty()) {
        slot.held.append(bytes);
        note_held();
        return;
    }
    bufferevent_write(stream_.get(), bytes.data(), bytes.size());
}

void caller_connection::finish(caller_slot& slot)
{
    slot.finished = true;
    flush();
    hand_over_requests();
}

void caller_connection::flush()
{
    while (!slots_.empty()) {
        auto& front = *slots_.front();
        if (front.broken && front.until_close) {
            break_off();
            return;
        }
        if (front.broken) {
            drop_slots();
            break;
        }
        if (!front.held.empty()) {
            bufferevent_write(stream_.get(), front.held.data(),
                              front.held.size());
            front.held.clear();
        }
        if (!front.finished)
            return;
        const bool last = !front.keep_alive;
        slots_.pop_front();
        --host_.in_flight;
        if (last) {
            end_.take_no_more();
            drop_slots();
        }
    }
    note_idle();
    note_held();
    if (!end_.takes_requests()) {
        close_gracefully();
        return;
    }
    close_between_requests();
    if (!end_.takes_requests())
        return;
    tell_to_go_on();
    // Requests may have waited for room in the pipeline.
    if (!reading_ &&
        evbuffer_get_length(bufferevent_get_input(stream_.get())) > 0)
        bufferevent_trigger(stream_.get(), EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

// A caller relies on the time-out that was in force when it got its answer,
// also when a configuration shortens it meanwhile.
void caller_connection::note_idle()
{
    idle_since_ = host_.loop->now();
    idle_limit_ = host_.limits.idle_timeout;
}

void caller_connection::close_gracefully()
{
    end_.take_no_more();
    if (end_.is_shut_down() || end_.has_ended())
        return;
    if (pending_output() > 0)
        return; // called again once it is written
    end_.shut_down();
    closing_since_ = host_.loop->now();
    undelivered_ = undelivered_bytes();
    ::shutdown(bufferevent_getfd(stream_.get()), SHUT_WR);
}

// The last answer had begun before the server closed, and could not say that it
// is the last. A request that crosses this is not read, so that its caller may
// send it again whatever its kind.
void caller_connection::close_between_requests()
{
    if (host_.phase != server_phase::closing)
        return;
    if (is_idle())
        close_unread();
}

void caller_connection::close_unread()
{
    bufferevent_disable(stream_.get(), EV_READ);
    close_gracefully();
}

// Requests behind it cannot be answered here, and are not worked on further.
void caller_connection::break_off(caller_slot& slot)
{
    slot.broken = true;
    slot.held.clear();
    end_.take_no_more();
    const auto found = std::ranges::find(
        slots_, &slot, [](const auto& each) { return each.get(); });
    drop_slots(static_cast<std::size_t>(found - slots_.begin()) + 1);
    flush();
}

void caller_connection::break_off()
{
    if (!end_.has_ended())
        end();
}

// An orderly end would make an answer look complete that has no length.
void caller_connection::reset_instead_of_closing()
{
    const struct ::linger at_once
    {
        1, 0
    };
    ::setsockopt(bufferevent_getfd(stream_.get()), SOL_SOCKET, SO_LINGER,
                 &at_once, sizeof at_once);
}

void caller_connection::end()
{
    if (!end_.end())
        return;
    const bool is_whole = slots_.empty() && pending_output() == 0;
    if (ends_an_answer_ && !is_whole)
        reset_instead_of_closing();
    stop_waiting();
    host_.ledger->remove(*this);
    bufferevent_disable(stream_.get(), EV_READ | EV_WRITE);
    drop_slots();
    host_.ended(*this);
}

// Not when the loop disposes of it: others are read before.
void caller_connection::close_for_room()
{
    end();
    incoming_.reset();
    reader_.forget();
    stream_.reset();
}

client_hold caller_connection::hold() const
{
    client_hold result{held_bytes(), client_state::idle, idle_since_};
    if (end_.is_shut_down())
        result.since = closing_since_;
    else if (pending_output() > 0)
        result = {result.bytes, client_state::unread, unread_since_};
    else if (!slots_.empty())
        result = {result.bytes, client_state::working,
                  slots_.front()->taken_at};
    else if (reader_.in_message())
        result = {result.bytes, client_state::reading, message_since_};
    else if (!had_request_)
        result.state = client_state::reading;
    return result;
}

// Of answers.
std::size_t caller_connection::unread_bytes() const
{
    std::size_t bytes = pending_output();
    for (const auto& slot : slots_)
        bytes += slot->held.size();
    return bytes;
}

std::size_t caller_connection::held_bytes() const
{
    std::size_t bytes =
        reader_.held_bytes() + unread_bytes() +
        evbuffer_get_length(bufferevent_get_input(stream_.get()));
    for (const auto& slot : slots_)
        bytes += slot->request_bytes;
    if (!incoming_)
        return bytes;
    const bool has_room = incoming_->room.has_value();
    return bytes + incoming_->request_bytes +
           (has_room ? 0 : text_bytes(incoming_->request.body));
}

void caller_connection::note_held()
{
    if (!end_.has_ended())
        host_.ledger->note(*this, held_bytes());
}

// Requests that get no answer here: the connection ends before their turn.
void caller_connection::drop_slots(std::size_t kept)
{
    std::vector<std::unique_ptr<caller_slot>> slots;
    while (slots_.size() > kept) {
        slots.push_back(std::move(slots_.back()));
        slots_.pop_back();
    }
    host_.in_flight -= slots.size();
    for (auto& slot : slots)
        slot->connection = nullptr;
    for (auto& slot : slots)
        if (slot->owner)
            caller_slot::notify_gone(*slot->owner);
    // Owners that are still there keep no pointer to what is destroyed here.
    for (auto& slot : slots)
        slot->owner = nullptr;
}

std::size_t caller_connection::pending_bytes(const caller_slot& slot) const
{
    return slot.held.size() + pending_output();
}

// After a time in which the loop did not run, the kernel holds bytes that came
// long before the connection counts as idle.
bool caller_connection::has_unread() const
{
    int waiting = 0;
    if (::ioctl(bufferevent_getfd(stream_.get()), FIONREAD, &waiting) != 0)
        waiting = 0;
    const auto* input = bufferevent_get_input(stream_.get());
    return waiting > 0 || evbuffer_get_length(input) > 0;
}

// An answer that its caller is still reading is no idle time either.
bool caller_connection::is_idle() const
{
    return slots_.empty() && !reader_.in_message() && pending_output() == 0 &&
           !has_unread();
}

// Without reading on: a request that crosses the close was then never read, and
// its caller may send it again whatever its kind. At once, unless its caller
// has yet to get an answer that the kernel holds.
void caller_connection::close_if_idle()
{
    if (!is_idle() || !end_.takes_requests())
        return;
    if (undelivered_bytes() > 0)
        close_unread();
    else
        end();
}

void caller_connection::on_server_closing()
{
    if (end_.on_server_closing(load()))
        set_last();
    close_if_idle();
}

void caller_connection::check_time(time_point now)
{
    if (end_.is_shut_down()) {
        check_delivery(now);
        return;
    }
    const bool unread =
        pending_output() > 0 && now - written_ > host_.limits.stall_timeout;
    if (unread) {
        end();
        return;
    }
    check_reading(now);
    const auto limit = std::max(idle_limit_, host_.limits.idle_timeout);
    if (now - idle_since_ > limit + idle_slack)
        close_if_idle();
}

// The linger begins anew with each byte that the caller's side has taken.
void caller_connection::check_delivery(time_point now)
{
    const int left = undelivered_bytes();
    if (left < undelivered_) {
        undelivered_ = left;
        closing_since_ = now;
    }
    const bool is_delivered = left <= bytes_of_the_end;
    const auto limit = is_delivered ? linger : host_.limits.stall_timeout;
    if (now - closing_since_ > limit || has_caller_closed())
        end();
}

// For times in which nothing is read: libevent tells of an end only then.
bool caller_connection::has_caller_closed() const
{
    pollfd state{bufferevent_getfd(stream_.get()), POLLRDHUP, 0};
    const bool told = ::poll(&state, 1, 0) > 0;
    return told && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

// Of the last answers, in the kernel; a connection that has none to tell is
// taken for one that has delivered all.
int caller_connection::undelivered_bytes() const
{
    int left = 0;
    if (::ioctl(bufferevent_getfd(stream_.get()), SIOCOUTQ, &left) != 0)
        return 0;
    return left;
}

// Once only: answers to earlier requests may still be due.
void caller_connection::check_reading(time_point now)
{
    if (!end_.takes_requests() || !reader_.in_message())
        return;
    if (host_.bodies.is_waiting(this)) {
        check_waiting(now);
        return;
    }
    const auto taken = now - message_since_;
    if (!headers_read_ && taken > host_.limits.header_timeout)
        refuse(status_timeout, "the headers took too long");
    else if (now - heard_ > host_.limits.stall_timeout ||
             taken > longest_reading)
        refuse(status_timeout, "the body took too long");
}

std::size_t caller_connection::pending_output() const
{
    return evbuffer_get_length(bufferevent_get_output(stream_.get()));
}

void caller_connection::on_output(evbuffer*, const evbuffer_cb_info* info,
                                  void* self)
{
    auto& connection = connection_of(self);
    const bool begins = info->orig_size == 0 && info->n_added > 0;
    if (begins || info->n_deleted > 0)
        connection.written_ = connection.host_.loop->now();
    if (begins)
        connection.unread_since_ = connection.written_;
    connection.note_held();
}

} // namespace vanillapost::io::detail
