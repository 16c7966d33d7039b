#ifndef VANILLAPOST_TEST_QUOTA_FLEET_HPP
#define VANILLAPOST_TEST_QUOTA_FLEET_HPP

/// Instances in virtual time that share quotas over a network that loses, holds
/// back and doubles messages.

#include "vanillapost/quotas.hpp"
#include "vanillapost/src/base/random.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace vanillapost::test {

using namespace std::chrono_literals;

/// A sender that lacks one of the rules.
enum class broken_rule
{
    none,
    no_sharing,      ///< each instance grants itself the whole quota
    equal_parts,     ///< each has its part of the rate, and no messages
    doubled_count,   ///< a report that comes twice is granted twice
    no_majority,     ///< a minority grants as well
    no_confirmation, ///< an owner needs no word of the other
};

struct fleet_settings
{
    std::size_t instances = 6;
    broken_rule broken = broken_rule::none;
    double loss = 0.02;
    double doubled = 0.02;
    double late = 0.02; ///< share that takes up to a second
    quota_settings rules;
};

/// Demand of one organisation: the instances that its callers use at a time,
/// and requests a second in all.
struct demand_at
{
    double per_second = 0;
    std::size_t first = 0; ///< instance
    std::size_t count = 1; ///< instances from there
};

struct tenant_load
{
    organisation who;
    std::function<demand_at(duration)> demand;
};

class quota_fleet
{
public:
    quota_fleet(const fleet_settings& settings, std::vector<tenant_load> loads)
        : settings_(settings), loads_(std::move(loads)), random_(7)
    {
        for (std::size_t i = 0; i < settings.instances; ++i)
            nodes_.push_back(std::make_unique<node>());
        arrivals_.resize(loads_.size());
        first_offers_.resize(loads_.size());
        served_.resize(loads_.size());
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            start(i, 2s);
        for (std::size_t i = 0; i < loads_.size(); ++i)
            at(start_of_load, [this, i] { arrive(i); });
    }

    static constexpr duration start_of_load = 3500ms;

    void at(duration when, std::function<void()> what)
    {
        events_.push({when, next_event_++, std::move(what)});
    }

    void run(duration until)
    {
        while (!events_.empty() && events_.top().when <= until) {
            auto next = events_.top();
            events_.pop();
            now_ = next.when;
            next.what();
        }
    }

    /// Ends a process without notice; it is seen by others after a while.
    void kill(std::size_t index)
    {
        nodes_[index]->alive = false;
        refresh_all_at(now_ + 2s);
    }

    void restart(std::size_t index)
    {
        start(index, 1s);
        refresh_all_at(now_ + 300ms);
    }

    /// Splits the network: those below `boundary` do not reach the others.
    /// \param notice  time after which they miss the others
    void partition(std::size_t boundary, duration notice = 3s)
    {
        boundary_ = boundary;
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            at(now_ + (i < boundary ? notice : delay(1s, 3s)),
               [this, i] { refresh(i); });
    }

    void heal()
    {
        boundary_ = 0;
        at(now_ + 500ms, [this] { refresh_all(); });
    }

    void join()
    {
        nodes_.push_back(std::make_unique<node>());
        start(nodes_.size() - 1, 2s);
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            at(now_ + delay(100ms, 800ms), [this, i] { refresh(i); });
    }

    /// Changes a limit; each instance learns of it within half a second.
    void change_limit(std::size_t load, quota limit)
    {
        loads_[load].who.limit = limit;
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            at(now_ + delay(0s, 500ms), [this, i] { configure(i); });
    }

    /// Largest number of requests sent on in a window that begins after
    /// `since`.
    std::size_t most_in_window(std::size_t load, duration since) const
    {
        const auto& times = arrivals_[load];
        std::size_t most = 0;
        auto first = std::ranges::lower_bound(times, since);
        for (auto last = first; last != times.end(); ++last) {
            while (*last - *first > 5s)
                ++first;
            most = std::max(most, static_cast<std::size_t>(last - first) + 1);
        }
        return most;
    }

    /// Requests sent on of that time, as a share of those that one token bucket
    /// for all instances would have let through.
    double share_served(std::size_t load, duration since, duration until) const
    {
        const auto& limit = loads_[load].who.limit;
        double tokens = limit.burst;
        double owed = 0;
        duration filled = start_of_load;
        for (const auto when : first_offers_[load]) {
            if (when >= until)
                break;
            const auto passed = std::chrono::duration<double>(when - filled);
            tokens =
                std::min(limit.burst,
                         tokens + passed.count() * limit.requests_per_second);
            filled = when;
            if (tokens < 1)
                continue;
            tokens -= 1;
            owed += when >= since ? 1 : 0;
        }
        const auto got = std::ranges::count_if(served_[load], [&](auto when) {
            return when >= since && when < until;
        });
        return owed > 0 ? std::min(1.0, static_cast<double>(got) / owed) : 1;
    }

    static double allowed(const quota& limit)
    {
        return (limit.requests_per_second * 5 + limit.burst) * 1.1 + 20;
    }

    /// Datagrams that an instance sent on average, a second.
    double messages_per_second(duration passed) const
    {
        return static_cast<double>(messages_) /
               static_cast<double>(nodes_.size()) /
               std::chrono::duration<double>(passed).count();
    }

    std::size_t size() const
    {
        return nodes_.size();
    }

    std::vector<std::size_t> owners_of(std::size_t load) const
    {
        quota_view view;
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            view.members.push_back(name_of(i));
        std::vector<std::size_t> result;
        for (const auto& name : quota_owners(loads_[load].who.id, view))
            result.push_back(index_of(name));
        return result;
    }

    std::uint64_t messages() const
    {
        return messages_;
    }

    entry_id name_of(std::size_t index) const
    {
        return entry_id{"edge-" + std::to_string(index)};
    }

    std::size_t index_of(const entry_id& name) const
    {
        return static_cast<std::size_t>(std::stoul(name.value.substr(5)));
    }

private:
    struct event
    {
        duration when;
        std::uint64_t number;
        std::function<void()> what;

        bool operator<(const event& other) const
        {
            return std::pair(when, number) >
                   std::pair(other.when, other.number);
        }
    };

    struct waiting_request
    {
        std::size_t load;
        duration offered; ///< first
        duration until;
        bool came_back;
    };

    struct node
    {
        std::unique_ptr<quota_limiter> limiter;
        std::unique_ptr<quota_membership> membership;
        std::vector<waiting_request> waiting;
        bool alive = true;
        int life = 0;
        bool polls = false;
    };

    time_point time() const
    {
        return time_point(100s + now_);
    }

    duration delay(duration least, duration most)
    {
        return least + scaled(most - least, draw_share(random_));
    }

    bool reaches(std::size_t from, std::size_t to) const
    {
        return (from < boundary_) == (to < boundary_);
    }

    void start(std::size_t index, duration joining)
    {
        auto& each = *nodes_[index];
        auto rules = settings_.rules;
        if (settings_.broken == broken_rule::no_confirmation)
            rules.confirmation_time = 1h;
        each.alive = true;
        each.life += 1;
        each.waiting.clear();
        each.limiter =
            std::make_unique<quota_limiter>(name_of(index), time(), rules);
        each.membership = std::make_unique<quota_membership>(name_of(index),
                                                             time() + joining);
        refresh(index);
        configure(index);
    }

    void configure(std::size_t index)
    {
        std::vector<organisation> all;
        for (const auto& each : loads_) {
            all.push_back(each.who);
            if (settings_.broken != broken_rule::equal_parts)
                continue;
            const auto parts = static_cast<double>(nodes_.size());
            all.back().limit.requests_per_second /= parts;
            all.back().limit.burst /= parts;
        }
        nodes_[index]->limiter->set_limits(all, time());
    }

    bool is_alone() const
    {
        return settings_.broken == broken_rule::no_sharing ||
               settings_.broken == broken_rule::equal_parts;
    }

    /// Once, however many members change at that time.
    void refresh_all_at(duration when)
    {
        if (std::exchange(refresh_at_, when) != when)
            at(when, [this] { refresh_all(); });
    }

    void refresh_all()
    {
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            refresh(i);
    }

    void refresh(std::size_t index)
    {
        if (!nodes_[index]->alive)
            return;
        std::vector<entry_id> live;
        std::vector<entry_id> dead;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            const bool seen = nodes_[i]->alive && reaches(index, i);
            if (i == index || (seen && !is_alone()))
                live.push_back(name_of(i));
            else if (!is_alone() &&
                     settings_.broken != broken_rule::no_majority)
                dead.push_back(name_of(i));
        }
        auto& membership = *nodes_[index]->membership;
        if (settings_.broken == broken_rule::no_majority)
            membership = quota_membership(name_of(index), time_point{});
        nodes_[index]->limiter->set_view(
            membership.update({live, dead, {}, false}, time()), time());
    }

    void arrive(std::size_t load)
    {
        const auto demand = loads_[load].demand(now_);
        const double rate = std::max(demand.per_second, 0.1);
        const double gap = -std::log(1 - draw_share(random_)) / rate;
        at(now_ + scaled(1s, gap), [this, load] { arrive(load); });
        if (demand.per_second <= 0)
            return;
        const auto offset = static_cast<std::size_t>(
            draw_share(random_) * static_cast<double>(demand.count));
        const auto index = (demand.first + offset) % nodes_.size();
        if (!nodes_[index]->alive)
            return;
        first_offers_[load].push_back(now_);
        decide(index, {load, now_, {}, false}, true);
    }

    void decide(std::size_t index, waiting_request request, bool is_new)
    {
        auto& limiter = *nodes_[index]->limiter;
        const auto& who = loads_[request.load].who.id;
        const auto decision = limiter.admit(who, is_new, time());
        if (std::holds_alternative<quota_admitted>(decision)) {
            arrivals_[request.load].push_back(now_);
            served_[request.load].push_back(request.offered);
        } else if (const auto* refused =
                       std::get_if<quota_refused>(&decision)) {
            send_back(index, request, refused->retry_after);
        } else {
            if (is_new)
                request.until =
                    now_ + std::get<quota_pending>(decision).at_most;
            if (now_ >= request.until)
                send_back(index, request,
                          limiter.refuse(who, time()).retry_after);
            else
                nodes_[index]->waiting.push_back(request);
        }
        send_reports(index);
    }

    // A caller has one retry, and waits for no more than a third of its time.
    void send_back(std::size_t index, waiting_request request, duration after)
    {
        if (request.came_back || after > 667ms)
            return;
        request.came_back = true;
        at(now_ + after, [this, index, request] {
            if (nodes_[index]->alive)
                decide(index, request, true);
        });
    }

    void offer_again(std::size_t index)
    {
        auto& each = *nodes_[index];
        for (const auto& request : std::exchange(each.waiting, {}))
            decide(index, request, false);
    }

    void poll(std::size_t index, int life)
    {
        auto& each = *nodes_[index];
        if (each.life != life || !each.alive)
            return;
        each.polls = false;
        if (!each.waiting.empty())
            offer_again(index);
        send_reports(index);
    }

    void send_reports(std::size_t index)
    {
        auto& each = *nodes_[index];
        for (const auto& call : each.limiter->next_reports(time()))
            transmit(index, index_of(call.to), [this, index, call](auto to) {
                on_report(to, index, call.report);
            });
        if (std::exchange(each.polls, true))
            return;
        at(now_ + 50ms, [this, index, life = each.life] { poll(index, life); });
    }

    void on_report(std::size_t index, std::size_t from, quota_report report)
    {
        if (settings_.broken == broken_rule::doubled_count)
            report.number = ++inflated_;
        const auto number = report.number;
        auto reply = nodes_[index]->limiter->on_report(report, time());
        if (!reply)
            return;
        reply->number = number;
        transmit(index, from, [this, reply = *reply](auto to) {
            nodes_[to]->limiter->on_reply(reply, time());
            offer_again(to);
            send_reports(to);
        });
    }

    template <class Handler>
    void transmit(std::size_t from, std::size_t to, const Handler& handler)
    {
        messages_ += 1;
        const int copies = draw_share(random_) < settings_.doubled ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (draw_share(random_) < settings_.loss || !reaches(from, to))
                continue;
            const bool late = draw_share(random_) < settings_.late;
            at(now_ + (late ? delay(10ms, 1s) : delay(1ms, 8ms)),
               [this, handler, to, life = nodes_[to]->life] {
                   if (nodes_[to]->alive && nodes_[to]->life == life)
                       handler(to);
               });
        }
    }

    fleet_settings settings_;
    std::vector<tenant_load> loads_;
    random_engine random_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::priority_queue<event> events_;
    std::uint64_t next_event_ = 0;
    duration now_{};
    duration refresh_at_{};
    std::size_t boundary_ = 0;
    std::uint64_t messages_ = 0;
    std::uint64_t inflated_ = 1'000'000'000;
    std::vector<std::vector<duration>> arrivals_;
    std::vector<std::vector<duration>> first_offers_;
    std::vector<std::vector<duration>> served_; ///< when first offered
};

} // namespace vanillapost::test

#endif
