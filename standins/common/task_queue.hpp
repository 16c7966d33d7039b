#ifndef VANILLAPOST_STANDINS_COMMON_TASK_QUEUE_HPP
#define VANILLAPOST_STANDINS_COMMON_TASK_QUEUE_HPP

#include <vanillapost/io.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace vanillapost::standin {

/// Runs tasks later on a loop, on one timer, in the order of their times.
class task_queue
{
public:
    using task_id = std::pair<time_point, std::uint64_t>;

    explicit task_queue(io::event_loop& loop)
        : loop_(loop), timer_(loop, [this] { run_due(); })
    {
    }

    task_id at(time_point when, std::function<void()> task)
    {
        const task_id id{when, ++last_number_};
        tasks_.emplace(id, std::move(task));
        if (tasks_.begin()->first == id)
            start_timer();
        return id;
    }

    task_id after(duration delay, std::function<void()> task)
    {
        return at(loop_.now() + delay, std::move(task));
    }

    void cancel(const task_id& id)
    {
        tasks_.erase(id);
    }

private:
    void run_due()
    {
        // Tasks that these tasks add wait for the next turn.
        const auto now = loop_.now();
        const auto last = last_number_;
        while (!tasks_.empty()) {
            const auto first = tasks_.begin();
            if (first->first.first > now || first->first.second > last)
                break;
            auto task = std::move(first->second);
            tasks_.erase(first);
            task();
        }
        if (!tasks_.empty())
            start_timer();
    }

    void start_timer()
    {
        const auto wait = tasks_.begin()->first.first - loop_.now();
        timer_.start_once(std::max(wait, duration(0)));
    }

    io::event_loop& loop_;
    io::timer timer_;
    std::map<task_id, std::function<void()>> tasks_;
    std::uint64_t last_number_ = 0;
};

} // namespace vanillapost::standin

#endif
