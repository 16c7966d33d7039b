#ifndef VANILLAPOST_BENCH_ROUTING_FAKE_TARGET_HPP
#define VANILLAPOST_BENCH_ROUTING_FAKE_TARGET_HPP

#include "event_queue.hpp"
#include "scenario.hpp"

#include <cmath>
#include <deque>
#include <random>

namespace vanillapost::bench {

/// A target with slots; what comes beyond them waits in its accept queue.
class fake_target
{
public:
    /// Told whether the request ran within its deadline.
    using answer = std::function<void(bool)>;

    fake_target(event_queue& events, const scenario& setting,
                std::size_t number)
        : events_(&events), setting_(&setting),
          random_(setting.seed, 1000 + number)
    {
    }

    void set_slow()
    {
        factor_ = slow_factor;
    }

    void receive(time_point deadline, answer done)
    {
        if (in_flight() >= setting_->slots)
            ++over_limit_;
        waiting_.push_back({deadline, std::move(done)});
        start_next();
    }

    int in_flight() const
    {
        return running_ + static_cast<int>(waiting_.size());
    }

    /// Requests that arrived while all slots were taken.
    std::size_t over_limit() const
    {
        return over_limit_;
    }

private:
    struct received
    {
        time_point deadline;
        answer done;
    };

    void start_next()
    {
        while (running_ < setting_->slots && !waiting_.empty()) {
            received next = std::move(waiting_.front());
            waiting_.pop_front();
            if (next.deadline <= events_->now()) {
                next.done(false);
                continue;
            }
            ++running_;
            events_->after(service_time(),
                           [this, next = std::move(next)] { end(next); });
        }
    }

    void end(const received& request)
    {
        --running_;
        request.done(events_->now() <= request.deadline);
        start_next();
    }

    duration service_time()
    {
        const double location = std::log(setting_->mean_service_us) -
                                service_sigma * service_sigma / 2;
        std::lognormal_distribution<double> draw(location, service_sigma);
        return duration(static_cast<duration::rep>(factor_ * draw(random_)));
    }

    event_queue* events_;
    const scenario* setting_;
    random_engine random_;
    std::deque<received> waiting_;
    int running_ = 0;
    double factor_ = 1;
    std::size_t over_limit_ = 0;
};

} // namespace vanillapost::bench

#endif
