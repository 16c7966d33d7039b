#ifndef VANILLAPOST_SRC_IO_DETAIL_TARGET_LINK_HPP
#define VANILLAPOST_SRC_IO_DETAIL_TARGET_LINK_HPP

#include "../target_pool.hpp"
#include "http1_reader.hpp"

#include <event2/bufferevent.h>

namespace vanillapost::io::detail {

/// One connection to a target, with at most one call at a time.
///
/// libevent may be on the stack when it ends, so it is destroyed through
/// `event_loop::dispose`.
class target_link : public disposable
{
public:
    using notify = std::function<void(target_link&)>;

    /// \param changed  it became idle or ended
    target_link(event_loop& loop, const address& target,
                const target_pool_settings& settings, notify changed);
    ~target_link() override;

    std::unique_ptr<target_call> send(target_call_request request,
                                      target_call_handlers handlers);

    /// Fails the call on the next turn of the loop without sending anything.
    std::unique_ptr<target_call> fail_later(target_call_handlers handlers,
                                            std::string reason);

    bool is_idle() const
    {
        return !ended_ && !busy_;
    }

    bool has_ended() const
    {
        return ended_;
    }

    /// Last time that the target was heard on it.
    time_point last_heard() const
    {
        return heard_;
    }

    bool is_expired(time_point now) const
    {
        return now >= expires_;
    }

    /// The caller of the call has let go of it.
    void abandon();

    void pause();
    void resume();
    void end();

private:
    static void on_readable(bufferevent* stream, void* self);
    static void on_event(bufferevent* stream, short what, void* self);

    template <class Callback>
    void guard(std::string_view step, const Callback& callback);
    void open();
    void note_out();
    void read_answers();
    void take_head(message_head&& head);
    void take_body(std::string_view bytes);
    void take_end();
    void handle_event(short what);
    void complete();
    bool skips_too_much(std::size_t used);
    void fail(std::string reason, answer_fault fault = answer_fault::none);

    event_loop& loop_;
    address target_;
    target_pool_settings settings_;
    notify changed_;
    timer connect_timer_;
    std::unique_ptr<bufferevent, decltype(&bufferevent_free)> stream_{
        nullptr, &bufferevent_free};
    http1_reader reader_;
    target_call* call_ = nullptr;
    target_call_handlers handlers_;
    std::function<bool()> is_wanted_;
    std::string id_;
    std::string failure_; ///< told on the next turn
    bool connected_ = false;
    bool refused_ = false; ///< nothing listens at the address
    bool busy_ = false;
    bool paused_ = false;   ///< reading is disabled; never while in the pool
    bool skipping_ = false; ///< the message is not the answer to this call
    bool answered_ = false;
    std::size_t skipped_bytes_ = 0; ///< of messages before the answer
    bool keep_ = true;              ///< usable for another call
    bool ended_ = false;
    time_point heard_{};
    time_point expires_{};
    duration idle_timeout_;
};

} // namespace vanillapost::io::detail

#endif
