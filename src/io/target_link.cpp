#include "vanillapost/src/io/detail/target_link.hpp"

#include "vanillapost/src/base/number_text.hpp"
#include "vanillapost/src/io/detail/socket.hpp"

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <event2/buffer.h>
#include <event2/event.h>
#include <utility>

namespace vanillapost::io::detail {

namespace {

using namespace std::chrono_literals;

constexpr int first_final_status = 200;
constexpr int last_success_status = 299;
/// A kept connection is given up this long before its target closes it, so
/// that no request crosses that close.
constexpr duration keep_alive_margin = 1500ms;
/// Interim answers, and late ones to earlier calls, that may stand before the
/// answer.
constexpr std::size_t max_skipped_bytes = 8 * 1024 * 1024;
/// What an interim answer counts for at least: it has no body.
constexpr std::size_t least_skipped_bytes = 64 * 1024;

target_link& link_of(void* self)
{
    return *static_cast<target_link*>(self);
}

// "timeout=10, max=100"
std::optional<duration> announced_idle_timeout(const header_list& headers)
{
    constexpr std::string_view key = "timeout=";
    const auto value = find_header(headers, "Keep-Alive");
    if (!value)
        return std::nullopt;
    const auto at = value->find(key);
    if (at == std::string_view::npos)
        return std::nullopt;
    const auto rest = value->substr(at + key.size());
    const auto digits = rest.substr(0, rest.find_first_not_of("0123456789"));
    const auto seconds = parse_number<int>(digits);
    if (!seconds)
        return std::nullopt;
    const duration told = std::chrono::seconds(*seconds);
    return std::max<duration>(told - keep_alive_margin, told / 4);
}

} // namespace

target_link::target_link(event_loop& loop, const address& target,
                         const target_pool_settings& settings, notify changed)
    : loop_(loop), target_(target), settings_(settings),
      changed_(std::move(changed)),
      connect_timer_(loop,
                     [this] {
                         fail(failure_.empty() ? "no connection in time"
                                               : failure_);
                     }),
      reader_(message_side::answer,
              {[this](message_head&& head) { take_head(std::move(head)); },
               [this](std::string_view bytes) { take_body(bytes); },
               [this] { take_end(); }}),
      heard_(loop.now()), idle_timeout_(settings.idle_timeout)
{
    reader_.set_max_header_bytes(settings.max_header_bytes);
}

target_link::~target_link() = default;

void target_link::open()
{
    stream_.reset(
        bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(stream_.get(), &on_readable, nullptr, &on_event, this);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
    auto where = to_socket_address(target_);
    connect_timer_.start_once(settings_.connect_timeout);
    if (bufferevent_socket_connect(stream_.get(), where.get(), where.length) !=
        0) {
        failure_ = "cannot connect: " + last_error_text();
        connect_timer_.start_once(duration::zero());
    }
}

std::unique_ptr<target_call> target_link::send(target_call_request request,
                                               target_call_handlers handlers)
{
    assert(!paused_);
    busy_ = true;
    skipping_ = false;
    answered_ = false;
    skipped_bytes_ = 0;
    handlers_ = std::move(handlers);
    id_ = std::move(request.id);
    is_wanted_ = std::move(request.is_wanted);
    reader_.expect_no_body(request.head_only);
    auto call = std::make_unique<target_call>(*this);
    call_ = call.get();
    if (!stream_)
        open();
    bufferevent_write(stream_.get(), request.bytes.data(),
                      request.bytes.size());
    if (connected_)
        note_out();
    return call;
}

std::unique_ptr<target_call>
target_link::fail_later(target_call_handlers handlers, std::string reason)
{
    busy_ = true;
    handlers_ = std::move(handlers);
    failure_ = std::move(reason);
    auto call = std::make_unique<target_call>(*this);
    call_ = call.get();
    connect_timer_.start_once(duration::zero());
    return call;
}

void target_link::note_out()
{
    if (call_)
        call_->out_at_ = loop_.now();
}

void target_link::abandon()
{
    call_ = nullptr;
    end();
}

void target_link::pause()
{
    paused_ = true;
    if (stream_)
        bufferevent_disable(stream_.get(), EV_READ);
}

void target_link::resume()
{
    paused_ = false;
    if (stream_)
        bufferevent_enable(stream_.get(), EV_READ);
}

// A link whose callback fails is of no use any more.
template <class Callback>
void target_link::guard(std::string_view step, const Callback& callback)
{
    const auto peer = to_string(target_);
    if (loop_.guard(step, peer, callback))
        return;
    loop_.guard("end connection", peer, [this] {
        if (!ended_)
            fail("a callback failed");
    });
}

void target_link::on_readable(bufferevent*, void* self)
{
    auto& link = link_of(self);
    link.guard("read answer", [&] { link.read_answers(); });
}

void target_link::on_event(bufferevent*, short what, void* self)
{
    auto& link = link_of(self);
    link.guard("handle event", [&] { link.handle_event(what); });
}

void target_link::read_answers()
{
    evbuffer* input = bufferevent_get_input(stream_.get());
    while (!ended_ && evbuffer_get_length(input) > 0) {
        if (!busy_) {
            // Nobody asked for these bytes: they belong to no request.
            end();
            return;
        }
        evbuffer_iovec piece{};
        evbuffer_peek(input, -1, nullptr, &piece, 1);
        std::size_t used = 0;
        const auto result = reader_.read(
            {static_cast<const char*>(piece.iov_base), piece.iov_len}, used);
        if (ended_)
            return;
        evbuffer_drain(input, used);
        heard_ = loop_.now();
        if (result == read_result::malformed) {
            fail("the answer is not HTTP/1.1", answer_fault::malformed);
            return;
        }
        const bool too_long = result == read_result::headers_too_large ||
                              result == read_result::framing_too_large ||
                              skips_too_much(used);
        if (too_long) {
            fail("no answer comes to an end", answer_fault::too_long);
            return;
        }
        if (answered_) {
            // What follows an answer makes the connection unusable.
            if (evbuffer_get_length(input) > 0)
                keep_ = false;
            complete();
            return;
        }
    }
}

bool target_link::skips_too_much(std::size_t used)
{
    if (skipping_)
        skipped_bytes_ += used;
    return skipped_bytes_ > max_skipped_bytes;
}

void target_link::take_head(message_head&& head)
{
    const auto id = find_header(head.headers, settings_.id_header);
    skipping_ = head.status < first_final_status;
    if (!skipping_ && id && *id != id_) {
        skipping_ = true;
        keep_ = false;
    }
    if (skipping_) {
        skipped_bytes_ += least_skipped_bytes;
        return;
    }
    if (!call_)
        return;
    // The rest of a body that is answered early would be read as the next
    // request.
    const bool early =
        evbuffer_get_length(bufferevent_get_output(stream_.get())) > 0;
    // Nothing would tell a copy of it from the next answer. Answers to probes
    // bear no id; of these a refusal could be believed in the wrong place.
    const bool is_mistakable =
        !id && (!id_.empty() || head.status > last_success_status);
    if (early || !head.keep_alive || head.ends_with_connection || is_mistakable)
        keep_ = false;
    if (const auto told = announced_idle_timeout(head.headers))
        idle_timeout_ = std::min(settings_.idle_timeout, *told);
    target_answer_head answer;
    answer.status = head.status;
    if (const auto length = find_header(head.headers, "Content-Length"))
        answer.length = parse_number<std::uint64_t>(*length);
    answer.headers = std::move(head.headers);
    handlers_.on_head(std::move(answer));
}

void target_link::take_body(std::string_view bytes)
{
    if (!skipping_ && call_)
        handlers_.on_data(bytes);
}

void target_link::take_end()
{
    answered_ = !skipping_;
}

void target_link::handle_event(short what)
{
    if (what & BEV_EVENT_CONNECTED) {
        if (is_wanted_ && !is_wanted_()) {
            fail("no longer wanted when connected");
            return;
        }
        connected_ = true;
        heard_ = loop_.now();
        connect_timer_.cancel();
        set_no_delay(bufferevent_getfd(stream_.get()));
        note_out();
        return;
    }
    if (!busy_) {
        end();
        return;
    }
    if (!connected_) {
        const int cause = EVUTIL_SOCKET_ERROR();
        refused_ = cause == ECONNREFUSED || cause == ECONNRESET;
        fail("cannot connect: " + last_error_text());
        return;
    }
    const bool reset = (what & BEV_EVENT_ERROR) != 0;
    const std::string reason =
        reset ? "connection reset: " + last_error_text() : "connection closed";
    keep_ = false;
    // Only an orderly end completes an answer without a length.
    if (!reset && reader_.in_message() && reader_.finish() && answered_) {
        complete();
        return;
    }
    fail(reason);
}

void target_link::complete()
{
    busy_ = false;
    expires_ = loop_.now() + idle_timeout_;
    auto handlers = std::exchange(handlers_, {});
    if (call_)
        call_->link_ = nullptr;
    call_ = nullptr;
    // The call may have paused it in the read that held the answer's end.
    if (paused_)
        resume();
    if (!keep_)
        end();
    else
        changed_(*this);
    handlers.on_done();
}

void target_link::fail(std::string reason, answer_fault fault)
{
    auto handlers = std::exchange(handlers_, {});
    const bool was_busy = std::exchange(busy_, false);
    if (call_)
        call_->link_ = nullptr;
    call_ = nullptr;
    end();
    if (was_busy && handlers.on_failure)
        handlers.on_failure({connected_, std::move(reason), fault, refused_});
}

void target_link::end()
{
    if (ended_)
        return;
    ended_ = true;
    busy_ = false;
    // The handlers stay until the link is destroyed: one may be running.
    if (call_)
        call_->link_ = nullptr;
    call_ = nullptr;
    connect_timer_.cancel();
    if (stream_) {
        bufferevent_disable(stream_.get(), EV_READ | EV_WRITE);
        bufferevent_setcb(stream_.get(), nullptr, nullptr, nullptr, nullptr);
    }
    changed_(*this);
}

} // namespace vanillapost::io::detail
