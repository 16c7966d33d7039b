#ifndef VANILLAPOST_BENCH_ROUTING_EVENT_QUEUE_HPP
#define VANILLAPOST_BENCH_ROUTING_EVENT_QUEUE_HPP

#include "vanillapost/base.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace vanillapost::bench {

/// Virtual time: runs actions in the order of their times.
class event_queue
{
public:
    using action = std::function<void()>;

    time_point now() const
    {
        return now_;
    }

    void at(time_point when, action what)
    {
        events_.push({when, next_++, std::move(what)});
    }

    void after(duration delay, action what)
    {
        at(now_ + delay, std::move(what));
    }

    void run()
    {
        while (!events_.empty()) {
            const event next = events_.top();
            events_.pop();
            now_ = next.when;
            next.what();
        }
    }

private:
    struct event
    {
        time_point when;
        std::uint64_t number; ///< keeps equal times in order
        action what;

        bool operator<(const event& other) const
        {
            return std::pair(when, number) >
                   std::pair(other.when, other.number);
        }
    };

    std::priority_queue<event> events_;
    time_point now_{std::chrono::hours(1)};
    std::uint64_t next_ = 0;
};

} // namespace vanillapost::bench

#endif
