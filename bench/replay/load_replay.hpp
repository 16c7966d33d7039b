#ifndef VANILLAPOST_BENCH_REPLAY_LOAD_REPLAY_HPP
#define VANILLAPOST_BENCH_REPLAY_LOAD_REPLAY_HPP

#include "choices.hpp"

#include <deque>
#include <functional>

namespace vanillapost::bench {

/// What a replay counts.
struct replay_result
{
    int asked = 0;
    int in_time = 0;
    int late = 0;
    int lost = 0;        ///< refused for good, fallen silent, or given up
    int turned_away = 0; ///< times that a target in a pause was asked
    std::vector<duration> latencies; ///< of answers, late ones too

    double in_time_share() const
    {
        return asked == 0 ? 1 : static_cast<double>(in_time) / asked;
    }

    double lost_share() const
    {
        return asked == 0 ? 0 : static_cast<double>(lost) / asked;
    }

    /// Latency that `share` of the answers do not exceed, in ms.
    double quantile_ms(double share)
    {
        if (latencies.empty())
            return 0;
        const auto rank = static_cast<std::ptrdiff_t>(
            share * static_cast<double>(latencies.size() - 1));
        std::ranges::nth_element(latencies, latencies.begin() + rank);
        return std::chrono::duration<double, std::milli>(
                   latencies[static_cast<std::size_t>(rank)])
            .count();
    }
};

/// Replays a load pattern in virtual time, in steps of 2 ms. What instances
/// measure is as old as a step.
class load_replay
{
public:
    using make_choice = std::function<choice(std::size_t instance)>;

    /// \param shares_pauses  an instance tells all others of a pause
    load_replay(const load_pattern& pattern, const make_choice& make,
                bool shares_pauses = false)
        : pattern_(pattern), shares_pauses_(shares_pauses),
          machines_(pattern.targets), views_(pattern.targets),
          random_(pattern.seed)
    {
        for (std::size_t i = 0; i < pattern.instances; ++i)
            choices_.push_back(make(i));
    }

    replay_result run()
    {
        const auto end = now_ + pattern_.length;
        for (; now_ < end; now_ += step) {
            change_pace();
            work();
            look();
            come_back();
            arrive();
        }
        return std::move(result_);
    }

private:
    static constexpr duration step = std::chrono::milliseconds(2);
    static constexpr duration report_interval = std::chrono::milliseconds(100);

    struct request
    {
        time_point began{};
        int attempts_left = 0;
        double left_ms = 0; ///< work that is left where it runs
        time_point back_at{};
        std::size_t instance = 0;
    };

    struct machine
    {
        std::vector<request> here; ///< the first ones run, up to the slots
        double slowdown_factor = 1;
    };

    double draw()
    {
        return draw_share(random_);
    }

    bool is_due(duration interval) const
    {
        return now_.time_since_epoch() % interval < step;
    }

    void change_pace()
    {
        if (!is_due(slow_length))
            return;
        for (auto& each : machines_)
            each.slowdown_factor =
                draw() < pattern_.slow_share ? slow_factor : 1;
    }

    void work()
    {
        const double passed =
            std::chrono::duration<double, std::milli>(step).count();
        const auto slots = static_cast<std::size_t>(pattern_.slots);
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            auto& here = machines_[i].here;
            const auto running = std::min(here.size(), slots);
            const double knee = running >= slots ? knee_factor : 1;
            for (std::size_t j = 0; j < running; ++j)
                here[j].left_ms -=
                    passed / (machines_[i].slowdown_factor * knee);
            for (std::size_t j = here.size(); j-- > 0;)
                if (here[j].left_ms <= 0)
                    end(i, j, true);
                else if (now_ - here[j].began > pattern_.patience)
                    end(i, j, false);
        }
    }

    void end(std::size_t target, std::size_t at, bool answered)
    {
        auto& here = machines_[target].here;
        const auto ended = here[at];
        here.erase(here.begin() + static_cast<std::ptrdiff_t>(at));
        std::visit([&](auto& each) { each.on_ended(target, answered, now_); },
                   choices_[ended.instance]);
        if (!answered) {
            ++result_.lost;
            return;
        }
        const auto latency = now_ - ended.began;
        ++(latency <= pattern_.objective ? result_.in_time : result_.late);
        result_.latencies.push_back(latency);
    }

    void look()
    {
        const bool report = is_due(report_interval);
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            const auto all = static_cast<int>(machines_[i].here.size());
            const int running = std::min(all, pattern_.slots);
            views_[i].now = {running, all - running, pattern_.slots,
                             machines_[i].slowdown_factor};
            if (report)
                views_[i].reported = all;
        }
    }

    void arrive()
    {
        const double expected =
            pattern_.per_second * std::chrono::duration<double>(step).count();
        if (draw() >= expected)
            return;
        ++result_.asked;
        place({now_, pattern_.caller_attempts, 0, {}, 0});
    }

    void come_back()
    {
        for (std::size_t i = away_.size(); i-- > 0;) {
            if (away_[i].back_at > now_)
                continue;
            const auto back = away_[i];
            away_.erase(away_.begin() + static_cast<std::ptrdiff_t>(i));
            place(back);
        }
    }

    void place(request which)
    {
        which.instance = random_(static_cast<std::uint32_t>(choices_.size()));
        auto& by = choices_[which.instance];
        const request_view asked{now_,
                                 pattern_.objective - (now_ - which.began)};
        const auto target = std::visit(
            [&](auto& each) { return each.choose(views_, asked); }, by);
        if (!target) {
            refuse(which);
            return;
        }
        if (const auto left = pause_left(*target); left > duration::zero()) {
            turn_away(which, *target, left);
            return;
        }
        auto& here = machines_[*target].here;
        const auto room =
            static_cast<std::size_t>(pattern_.slots + pattern_.queue);
        if (here.size() >= room) {
            ++result_.lost;
            return;
        }
        which.left_ms = pattern_.work_ms * (0.7 + 0.6 * draw());
        here.push_back(which);
        std::visit([&](auto& each) { each.on_sent(*target, now_); }, by);
    }

    duration pause_left(std::size_t target) const
    {
        if (pattern_.pause == duration::zero())
            return duration::zero();
        const auto passed = now_.time_since_epoch();
        const auto half = static_cast<std::size_t>(passed / pattern_.pause) % 2;
        if (target % 2 != half)
            return duration::zero();
        return pattern_.pause - passed % pattern_.pause;
    }

    // A round trip later it is placed once more.
    void turn_away(request which, std::size_t target, duration left)
    {
        ++result_.turned_away;
        for (std::size_t i = 0; i < choices_.size(); ++i)
            if (shares_pauses_ || i == which.instance)
                std::visit(
                    [&](auto& each) { each.on_pause(target, left, now_); },
                    choices_[i]);
        which.back_at = now_ + step;
        away_.push_back(which);
    }

    void refuse(request which)
    {
        if (--which.attempts_left == 0) {
            ++result_.lost;
            return;
        }
        // The time to come back that it is told, spread over a factor of three.
        constexpr double shortest_us = 200'000;
        constexpr double spread_us = 400'000;
        which.back_at = now_ + duration(static_cast<duration::rep>(
                                   shortest_us + spread_us * draw()));
        away_.push_back(which);
    }

    load_pattern pattern_;
    bool shares_pauses_;
    std::vector<machine> machines_;
    std::vector<target_view> views_;
    std::vector<choice> choices_;
    std::vector<request> away_;
    random_engine random_;
    time_point now_{std::chrono::seconds(3)};
    replay_result result_;
};

} // namespace vanillapost::bench

#endif
