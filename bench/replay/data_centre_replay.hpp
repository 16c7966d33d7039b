#ifndef VANILLAPOST_BENCH_REPLAY_DATA_CENTRE_REPLAY_HPP
#define VANILLAPOST_BENCH_REPLAY_DATA_CENTRE_REPLAY_HPP

#include "vanillapost/placement.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numbers>
#include <string>
#include <vector>

namespace vanillapost::bench {

/// One service in several data centres, and the load in each.
struct data_centre_pattern
{
    std::string name;
    std::size_t data_centres = 3;
    std::size_t instances = 4; ///< in each data centre
    std::size_t targets = 8;   ///< likewise
    int slots = 2;
    int queue = 4; ///< requests that wait at a target; what comes then is lost
    duration one_way = std::chrono::microseconds(1400); ///< between them
    double work_ms = 120;
    double kib = 4; ///< request and response
    duration objective = std::chrono::milliseconds(300);
    double slow_share = 0.25;    ///< of machines that are slowed down now
    double slow_here_share = -1; ///< likewise in the first one, if not negative
    /// Requests in each data centre at a time, as a share of its slots.
    std::function<double(std::size_t data_centre, duration at)> load;
    /// Whether the instances of a data centre reach the targets of another.
    std::function<bool(std::size_t from, std::size_t to, duration at)> reaches =
        [](std::size_t, std::size_t, duration) { return true; };
    /// Whether a data centre's targets may be used.
    std::function<bool(std::size_t data_centre, duration at)> enabled =
        [](std::size_t, duration) { return true; };
    exchange_settings exchange;
    duration report_interval = std::chrono::milliseconds(300);
    duration length = std::chrono::seconds(15);
    std::uint64_t seed = 7;
};

/// How an instance chooses among data centres.
enum class data_centre_rule
{
    weighed,       ///< the library's
    fixed_count,   ///< by a fixed number of free targets here
    local_only,    ///< never leaves while it has a target
    no_preference, ///< as if all were one data centre
};

/// What a replay counts.
struct data_centre_result
{
    int asked = 0;
    int in_time = 0;
    int left = 0;     ///< requests that were sent to another data centre
    int returned = 0; ///< of them, to one that itself sent some in the same 1 s
    std::vector<double> latencies_ms; ///< of answers

    double in_time_share() const
    {
        return asked == 0 ? 1 : static_cast<double>(in_time) / asked;
    }

    double left_share() const
    {
        return asked == 0 ? 0 : static_cast<double>(left) / asked;
    }

    /// Latency that `share` of the answers do not exceed, in ms.
    double quantile_ms(double share) const
    {
        if (latencies_ms.empty())
            return 0;
        auto sorted = latencies_ms;
        const auto rank = static_cast<std::ptrdiff_t>(
            share * static_cast<double>(sorted.size() - 1));
        std::ranges::nth_element(sorted, sorted.begin() + rank);
        return sorted[static_cast<std::size_t>(rank)];
    }
};

/// Replays a pattern in virtual time, in steps of 1 ms. Instances learn of
/// targets by reports at intervals and by probes just before a choice, as the
/// router does; a probe costs a round trip.
class data_centre_replay
{
public:
    data_centre_replay(const data_centre_pattern& pattern,
                       data_centre_rule rule)
        : pattern_(pattern), rule_(rule), random_(pattern.seed)
    {
        machines_.resize(pattern.data_centres * pattern.targets);
        sent_in_.resize(pattern.data_centres);
        for (std::size_t i = 0; i < pattern.data_centres * pattern.instances;
             ++i)
            instances_.push_back(make_instance(i));
        for (std::size_t i = 0; i < machines_.size(); ++i)
            ids_.push_back(id_of(i));
    }

    data_centre_result run()
    {
        for (; now_ < start + pattern_.length; now_ += step) {
            change_pace();
            work();
            change_targets();
            report();
            place_waiting();
            arrive();
        }
        return std::move(result_);
    }

private:
    static constexpr time_point start{std::chrono::seconds(100)};
    static constexpr duration step = std::chrono::milliseconds(1);
    static constexpr duration slow_length = std::chrono::milliseconds(300);
    static constexpr double slow_factor = 4;
    static constexpr double knee = 0.8;
    static constexpr double knee_factor = 1.7;
    static constexpr duration retry_interval = std::chrono::milliseconds(5);
    static constexpr int probe_rounds = 2;

    struct request
    {
        time_point began{};
        std::size_t instance = 0;
        time_point next_try{}; ///< or when it arrives at a target
        duration way{};        ///< one way, of the response
        double left_ms = 0;
    };

    struct machine
    {
        std::vector<request> coming;
        std::vector<request> here; ///< the first ones run, up to the slots
        double slowdown_factor = 1;
    };

    duration since_start() const
    {
        return now_ - start;
    }

    double draw()
    {
        return draw_share(random_);
    }

    std::size_t data_centre_of(std::size_t target) const
    {
        return target / pattern_.targets;
    }

    std::size_t data_centre_of_instance(std::size_t instance) const
    {
        return instance / pattern_.instances;
    }

    static data_centre_id name_of(std::size_t data_centre)
    {
        return {"d" + std::to_string(data_centre)};
    }

    static target_id id_of(std::size_t index)
    {
        return {"t" + std::to_string(index)};
    }

    static service_id service()
    {
        return {"s"};
    }

    bool may_use(std::size_t from, std::size_t target) const
    {
        const auto to = data_centre_of(target);
        if (!pattern_.enabled(to, since_start()))
            return false;
        if (rule_ == data_centre_rule::local_only && to != from)
            return !pattern_.enabled(from, since_start());
        return true;
    }

    target_catalog catalog_of(std::size_t from) const
    {
        target_catalog result;
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            if (!may_use(from, i))
                continue;
            listed_target listed;
            listed.id = id_of(i);
            listed.service = service();
            listed.data_centre = rule_ == data_centre_rule::no_preference
                                     ? name_of(from)
                                     : name_of(data_centre_of(i));
            listed.slots = pattern_.slots;
            result.put(std::move(listed));
        }
        return result;
    }

    target_placer make_instance(std::size_t index) const
    {
        const auto here = data_centre_of_instance(index);
        placement_settings settings;
        settings.data_centre = name_of(here);
        settings.self = {"i" + std::to_string(index)};
        settings.exchange = pattern_.exchange;
        if (rule_ == data_centre_rule::fixed_count)
            settings.leaving = leaving_rule::fixed_count;
        target_placer result(std::move(settings),
                             random_engine(pattern_.seed, index));
        std::vector<owner_candidate> members;
        for (std::size_t i = 0; i < pattern_.data_centres * pattern_.instances;
             ++i)
            members.push_back({{"i" + std::to_string(i)},
                               name_of(data_centre_of_instance(i))});
        result.set_members(std::move(members));
        result.update(catalog_of(here), {}, start);
        return result;
    }

    // A target that may be used no more, or again, is known at once.
    void change_targets()
    {
        std::vector<bool> enabled;
        for (std::size_t i = 0; i < pattern_.data_centres; ++i)
            enabled.push_back(pattern_.enabled(i, since_start()));
        if (enabled == enabled_)
            return;
        enabled_ = enabled;
        for (std::size_t i = 0; i < instances_.size(); ++i)
            instances_[i].update(catalog_of(data_centre_of_instance(i)), {},
                                 now_);
    }

    bool is_due(duration interval) const
    {
        return since_start() % interval < step;
    }

    void change_pace()
    {
        if (!is_due(slow_length))
            return;
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            const bool special =
                data_centre_of(i) == 0 && pattern_.slow_here_share >= 0;
            const double share =
                special ? pattern_.slow_here_share : pattern_.slow_share;
            machines_[i].slowdown_factor = draw() < share ? slow_factor : 1;
        }
    }

    void work()
    {
        const double passed =
            std::chrono::duration<double, std::milli>(step).count();
        const auto slots = static_cast<std::size_t>(pattern_.slots);
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            auto& each = machines_[i];
            take_in(i);
            const auto running = std::min(each.here.size(), slots);
            const bool slowed = static_cast<double>(running) >
                                knee * static_cast<double>(slots);
            const double pace =
                each.slowdown_factor * (slowed ? knee_factor : 1);
            for (std::size_t j = 0; j < running; ++j)
                each.here[j].left_ms -= passed / pace;
            for (std::size_t j = each.here.size(); j-- > 0;)
                if (each.here[j].left_ms <= 0)
                    end(i, j);
        }
    }

    void take_in(std::size_t target)
    {
        auto& each = machines_[target];
        const auto most =
            static_cast<std::size_t>(pattern_.slots + pattern_.queue);
        for (std::size_t j = each.coming.size(); j-- > 0;) {
            if (each.coming[j].next_try > now_)
                continue;
            const auto arrived = each.coming[j];
            each.coming.erase(each.coming.begin() +
                              static_cast<std::ptrdiff_t>(j));
            if (each.here.size() < most)
                each.here.push_back(arrived);
            else
                instances_[arrived.instance]
                    .find(ids_[target])
                    ->on_ended(health_signal::neutral, now_);
        }
    }

    load_report report_of(std::size_t target) const
    {
        const auto& each = machines_[target];
        const auto all = static_cast<int>(each.here.size());
        const int running = std::min(all, pattern_.slots);
        return {running, all - running, pattern_.slots, each.slowdown_factor};
    }

    void end(std::size_t target, std::size_t at)
    {
        auto& here = machines_[target].here;
        const auto ended = here[at];
        here.erase(here.begin() + static_cast<std::ptrdiff_t>(at));
        auto& status = *instances_[ended.instance].find(ids_[target]);
        status.on_ended(health_signal::good, now_);
        status.on_report(report_of(target), false, now_);
        const auto latency = now_ - ended.began + ended.way;
        if (latency <= pattern_.objective)
            ++result_.in_time;
        result_.latencies_ms.push_back(
            std::chrono::duration<double, std::milli>(latency).count());
    }

    // Each instance hears from each target at intervals, by the answers to
    // others' probes and requests; each pair at a time of its own.
    void report()
    {
        const auto interval = pattern_.report_interval / step;
        const auto at = since_start() / step;
        for (std::size_t i = 0; i < instances_.size(); ++i)
            for (std::size_t j = 0; j < machines_.size(); ++j) {
                const auto offset =
                    static_cast<duration::rep>(7 * i + 13 * j) % interval;
                if ((at + offset) % interval != 0 || !is_reached(i, j))
                    continue;
                if (auto* status = instances_[i].find(ids_[j]))
                    status->on_report(report_of(j), false, now_);
            }
    }

    bool is_reached(std::size_t instance, std::size_t target) const
    {
        return pattern_.reaches(data_centre_of_instance(instance),
                                data_centre_of(target), since_start());
    }

    duration way_between(std::size_t instance, std::size_t target) const
    {
        constexpr duration inside = std::chrono::microseconds(200);
        const bool same =
            data_centre_of_instance(instance) == data_centre_of(target);
        return same ? inside : inside + pattern_.one_way;
    }

    void arrive()
    {
        for (std::size_t i = 0; i < pattern_.data_centres; ++i) {
            const double per_ms = pattern_.load(i, since_start()) *
                                  static_cast<double>(pattern_.targets) *
                                  pattern_.slots / pattern_.work_ms;
            auto count = static_cast<int>(per_ms);
            count += draw() < per_ms - count ? 1 : 0;
            for (int j = 0; j < count; ++j) {
                ++result_.asked;
                const auto instance =
                    i * pattern_.instances +
                    random_(static_cast<std::uint32_t>(pattern_.instances));
                place({now_, instance, now_, {}, 0});
            }
        }
    }

    void place_waiting()
    {
        auto all = std::exchange(waiting_, {});
        for (const auto& each : all)
            if (each.next_try > now_)
                waiting_.push_back(each);
            else
                place(each);
    }

    // Time that probes of these targets take.
    duration probe(std::size_t instance, const std::vector<target_id>& targets)
    {
        duration longest{};
        for (const auto& id : targets) {
            const auto target = std::stoul(id.value.substr(1));
            auto& placer = instances_[instance];
            if (!is_reached(instance, target)) {
                placer.find(id)->on_probe_failed(now_);
                longest =
                    std::max<duration>(longest, std::chrono::milliseconds(7));
                continue;
            }
            placer.find(id)->on_report(report_of(target), true, now_);
            const auto taken = 2 * way_between(instance, target) +
                               duration(static_cast<int>(300 * draw()));
            placer.on_round_trip(id, taken, now_);
            longest = std::max(longest, taken);
        }
        return longest;
    }

    void place(request which)
    {
        auto& placer = instances_[which.instance];
        placement_request asked;
        asked.service = service();
        asked.expected_work = std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(pattern_.work_ms));
        asked.expected_kib = pattern_.kib;
        const auto budget = pattern_.objective - (now_ - which.began);
        duration probed{};
        for (int round = 0;; ++round) {
            const auto decision =
                placer.choose(asked, {round < probe_rounds, budget}, now_);
            if (const auto* first = std::get_if<probe_first>(&decision)) {
                probed += probe(which.instance, first->targets);
                continue;
            }
            if (const auto* chosen = std::get_if<place_on>(&decision))
                send(which, *chosen, probed);
            else
                wait(which);
            return;
        }
    }

    void send(request which, const place_on& chosen, duration probed)
    {
        const auto target = std::stoul(chosen.target.value.substr(1));
        if (!is_reached(which.instance, target)) {
            auto& status = *instances_[which.instance].find(chosen.target);
            status.on_sent(now_);
            status.on_ended(health_signal::unreachable, now_);
            wait(which);
            return;
        }
        const auto from = data_centre_of_instance(which.instance);
        const auto to = data_centre_of(target);
        if (from != to)
            count_left(from, to);
        which.way = way_between(which.instance, target);
        which.next_try = now_ + probed + which.way;
        which.left_ms = pattern_.work_ms * (0.7 + 0.6 * draw());
        machines_[target].coming.push_back(which);
        instances_[which.instance].find(chosen.target)->on_sent(now_);
    }

    void count_left(std::size_t from, std::size_t to)
    {
        constexpr duration together = std::chrono::seconds(1);
        ++result_.left;
        sent_in_[from] = now_;
        if (now_ - sent_in_[to] < together && sent_in_[to] != time_point{})
            ++result_.returned;
    }

    // As the router: an eighth of the objective, then it is refused.
    void wait(request which)
    {
        which.next_try = now_ + retry_interval;
        if (now_ - which.began < pattern_.objective / 8)
            waiting_.push_back(which);
    }

    const data_centre_pattern pattern_;
    data_centre_rule rule_;
    std::vector<machine> machines_;
    std::vector<target_placer> instances_;
    std::vector<target_id> ids_;
    std::vector<request> waiting_;
    std::vector<bool> enabled_;
    std::vector<time_point> sent_in_;
    random_engine random_;
    time_point now_{start};
    data_centre_result result_;
};

/// The patterns for which leaving the data centre was made; sizes and delays
/// are set by the caller.
inline std::vector<data_centre_pattern> data_centre_patterns()
{
    using namespace std::chrono_literals;
    std::vector<data_centre_pattern> result;
    const auto add = [&](std::string name, auto load) -> data_centre_pattern& {
        auto& added = result.emplace_back();
        added.name = std::move(name);
        added.load = load;
        return added;
    };
    add("calm", [](std::size_t, duration) { return 0.3; });
    add("one short",
        [](std::size_t i, duration) { return i == 0 ? 0.9 : 0.2; });
    add("all short", [](std::size_t, duration) { return 0.9; });
    add("a wave", [](std::size_t i, duration at) {
        const double seconds = std::chrono::duration<double>(at).count();
        const double phase = seconds / 15 - static_cast<double>(i) / 3;
        return 0.4 * (1 + 0.55 * std::sin(2 * std::numbers::pi * phase));
    });
    add("one slow", [](std::size_t, duration) { return 0.3; }).slow_here_share =
        0.75;
    add("one evacuated", [](std::size_t, duration) { return 0.3; }).enabled =
        [](std::size_t i, duration at) { return i != 0 || at < 5s; };
    add("a cut link", [](std::size_t i, duration) {
        return i == 0 ? 0.9 : 0.2;
    }).reaches = [](std::size_t from, std::size_t to, duration at) {
        return at < 5s || from == to || from + to != 1;
    };
    add("evacuated and cut", [](std::size_t, duration) { return 0.3; });
    result.back().enabled = [](std::size_t i, duration at) {
        return i != 0 || at < 5s;
    };
    result.back().reaches = [](std::size_t from, std::size_t to, duration at) {
        return at < 5s || from == to || from + to != 1;
    };
    return result;
}

} // namespace vanillapost::bench

#endif
