#include "vanillapost/src/io/event_loop.hpp"

#include "vanillapost/src/base/error.hpp"
#include "vanillapost/src/io/detail/socket.hpp"

#include <csignal>
#include <ctime>
#include <deque>
#include <event2/event.h>
#include <utility>
#include <vector>

namespace vanillapost::io {

namespace {

using event_ptr = std::unique_ptr<event, decltype(&event_free)>;

constexpr std::int64_t micros_per_second = 1'000'000;

std::int64_t read_clock(clockid_t clock)
{
    timespec value{};
    clock_gettime(clock, &value);
    return value.tv_sec * micros_per_second + value.tv_nsec / 1000;
}

event_base* make_base()
{
    event_config* config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
    // Reading is switched off and on for each request; this joins the changes
    // of one turn. No descriptor here is ever duplicated, which it forbids.
    event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    event_base* base = event_base_new_with_config(config);
    event_config_free(config);
    if (!base)
        throw error("start event loop", "", "libevent gave no event base");
    return base;
}

struct signal_watch
{
    event_loop* loop;
    std::function<void()> handler;
    event_ptr ev{nullptr, &event_free};
};

void on_signal_event(evutil_socket_t, short, void* watch)
{
    auto& signal = *static_cast<signal_watch*>(watch);
    signal.loop->guard("handle signal", "", signal.handler);
}

} // namespace

struct event_loop::state
{
    event_loop* loop;
    // The base goes last: members are destroyed in reverse order.
    std::unique_ptr<event_base, decltype(&event_base_free)> base{
        make_base(), &event_base_free};
    std::deque<signal_watch> signals;
    std::function<void(const callback_failure&)> on_failure;
    std::vector<std::function<void()>> posted;
    std::vector<std::unique_ptr<disposable>> disposed;
    event_ptr wake{nullptr, &event_free};

    static void on_wake(evutil_socket_t, short, void* self)
    {
        static_cast<state*>(self)->run_posted();
    }

    void run_posted()
    {
        auto tasks = std::exchange(posted, {});
        auto items = std::exchange(disposed, {});
        items.clear();
        for (auto& task : tasks)
            loop->guard("run posted task", "", task);
    }
};

event_loop::event_loop() : state_(std::make_unique<state>())
{
    state_->loop = this;
    // A write to a closed socket has to fail, not to end the process.
    std::signal(SIGPIPE, SIG_IGN);
    state_->wake.reset(event_new(base(), -1, 0, &state::on_wake, state_.get()));
}

event_loop::~event_loop()
{
    state_->posted.clear();
    while (!state_->disposed.empty()) {
        auto items = std::exchange(state_->disposed, {});
        items.clear();
    }
}

time_point event_loop::now() const
{
    return time_point(duration(read_clock(CLOCK_MONOTONIC)));
}

std::int64_t event_loop::unix_ms() const
{
    return read_clock(CLOCK_REALTIME) / 1000;
}

void event_loop::run()
{
    event_base_loop(base(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop()
{
    event_base_loopbreak(base());
}

void event_loop::on_signal(int signal, std::function<void()> handler)
{
    auto& watch = state_->signals.emplace_back();
    watch.loop = this;
    watch.handler = std::move(handler);
    watch.ev.reset(evsignal_new(base(), signal, &on_signal_event, &watch));
    if (!watch.ev || event_add(watch.ev.get(), nullptr) != 0)
        throw error("watch signal", std::to_string(signal), "refused");
}

void event_loop::post(std::function<void()> task)
{
    state_->posted.push_back(std::move(task));
    event_active(state_->wake.get(), EV_TIMEOUT, 0);
}

void event_loop::dispose(std::unique_ptr<disposable> item)
{
    state_->disposed.push_back(std::move(item));
    event_active(state_->wake.get(), EV_TIMEOUT, 0);
}

void event_loop::on_failure(
    std::function<void(const callback_failure&)> handler)
{
    state_->on_failure = std::move(handler);
}

void event_loop::tell(const callback_failure& failure) const
{
    if (state_->on_failure)
        state_->on_failure(failure);
}

event_base* event_loop::base() const
{
    return state_->base.get();
}

struct timer::state
{
    event_loop* loop;
    std::function<void()> handler;
    event_ptr ev{nullptr, &event_free};
    bool* destroyed = nullptr; ///< set while the handler runs
    bool repeats = false;
    timeval interval{};

    ~state()
    {
        if (destroyed)
            *destroyed = true;
    }

    static void on_time(evutil_socket_t, short, void* self)
    {
        static_cast<state*>(self)->fire();
    }

    // The handler may destroy the timer: it runs from a local variable.
    void fire()
    {
        if (repeats)
            event_add(ev.get(), &interval);
        bool gone = false;
        destroyed = &gone;
        auto running = std::move(handler);
        loop->guard("run timer", "", running);
        if (gone)
            return;
        handler = std::move(running);
        destroyed = nullptr;
    }
};

timer::timer(event_loop& loop, std::function<void()> handler)
    : state_(std::make_unique<state>())
{
    state_->loop = &loop;
    state_->handler = std::move(handler);
    state_->ev.reset(evtimer_new(loop.base(), &state::on_time, state_.get()));
}

timer::~timer() = default;
timer::timer(timer&&) noexcept = default;
timer& timer::operator=(timer&&) noexcept = default;

void timer::start_once(duration delay)
{
    state_->repeats = false;
    timeval when = detail::to_timeval(delay);
    event_add(state_->ev.get(), &when);
}

void timer::start_every(duration interval)
{
    state_->repeats = true;
    state_->interval = detail::to_timeval(interval);
    event_add(state_->ev.get(), &state_->interval);
}

void timer::cancel()
{
    state_->repeats = false;
    event_del(state_->ev.get());
}

} // namespace vanillapost::io
