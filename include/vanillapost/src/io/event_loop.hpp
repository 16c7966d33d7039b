#ifndef VANILLAPOST_SRC_IO_EVENT_LOOP_HPP
#define VANILLAPOST_SRC_IO_EVENT_LOOP_HPP

#include "../base/time.hpp"

#include <cstdint>
#include <exception>
#include <functional>
#include <memory>
#include <string_view>

struct event_base;

namespace vanillapost::io {

/// What can be handed to `event_loop::dispose`.
struct disposable
{
    virtual ~disposable() = default;
};

/// A callback of the loop that has thrown.
struct callback_failure
{
    std::string_view step; ///< what it was to do
    std::string_view peer; ///< the other side; may be empty
    std::string_view what;
};

/// The one loop on which everything in a process runs.
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Monotonic time, read anew at each call.
    time_point now() const;

    /// Wall-clock time in ms since 1970, for deadlines sent to targets.
    std::int64_t unix_ms() const;

    /// Runs until `stop`.
    void run();
    void stop();

    /// Calls `handler` on the loop whenever the process gets `signal`.
    void on_signal(int signal, std::function<void()> handler);

    /// Calls `task` on the next turn of the loop.
    void post(std::function<void()> task);

    /// Destroys `item` on the next turn of the loop, or with the loop: for
    /// objects that a callback on the stack may still use.
    void dispose(std::unique_ptr<disposable> item);

    /// Calls `handler` with each failure that comes out of a callback.
    void on_failure(std::function<void(const callback_failure&)> handler);

    /// Runs a callback of the loop. A failure ends here: it costs what the
    /// callback was about, which the caller has to bring to an end, and never
    /// the process.
    /// \param step  what it is to do, such as "answer request"
    /// \return false when it failed, which was told to the failure handler
    template <class Callback>
    bool guard(std::string_view step, std::string_view peer,
               const Callback& callback)
    {
        try {
            callback();
            return true;
        } catch (const std::exception& failure) {
            tell({step, peer, failure.what()});
        } catch (...) {
            tell({step, peer, "thrown: no exception of the library"});
        }
        return false;
    }

    event_base* base() const;

private:
    void tell(const callback_failure& failure) const;

    struct state;
    std::unique_ptr<state> state_;
};

/// A timer on a loop; destroying it cancels it.
class timer
{
public:
    timer(event_loop& loop, std::function<void()> handler);
    ~timer();
    timer(timer&&) noexcept;
    timer& operator=(timer&&) noexcept;

    void start_once(duration delay);
    void start_every(duration interval);
    void cancel();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace vanillapost::io

#endif
