#ifndef VANILLAPOST_BENCH_REPLAY_CHOICES_HPP
#define VANILLAPOST_BENCH_REPLAY_CHOICES_HPP

#include "load_pattern.hpp"
#include "vanillapost/placement.hpp"

#include <algorithm>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace vanillapost::bench {

/// What a choice may look at: loads as the targets reported them some time
/// ago, for the baselines, and as they are, for those who ask.
struct target_view
{
    int reported = 0; ///< requests there at the last periodic report
    load_report now;
};

/// What is known of the request to be placed.
struct request_view
{
    time_point at{};
    duration left{}; ///< of its objective
};

/// The library's choice: targets are measured before it, and what would be
/// late is not placed.
class library_choice
{
public:
    struct options
    {
        bool measures = true;       ///< asks targets before the choice
        bool queues_always = false; ///< places whatever comes of it
        bool keeps_pauses = true;   ///< that targets ask for
        /// \see placement_settings
        double min_free_share = placement_settings().min_free_share;
    };

    library_choice(const load_pattern& pattern, std::size_t instance,
                   options how)
        : how_(how), work_(pattern.work_ms),
          placer_(settings_of(instance, how),
                  random_engine(pattern.seed, instance))
    {
        target_catalog catalog;
        for (std::size_t i = 0; i < pattern.targets; ++i) {
            listed_target listed;
            listed.id = id_of(i);
            listed.service = service();
            listed.data_centre = {"d"};
            listed.slots = pattern.slots;
            catalog.put(std::move(listed));
        }
        placer_.update(catalog, {}, {});
    }

    std::optional<std::size_t> choose(std::span<const target_view> targets,
                                      const request_view& asked)
    {
        for (std::size_t i = 0; i < targets.size(); ++i) {
            auto report = targets[i].now;
            if (!how_.measures)
                report.slowdown_factor = 1;
            placer_.find(id_of(i))->on_report(report, true, asked.at);
        }
        placement_request request;
        request.service = service();
        request.expected_work = std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(work_));
        const auto left =
            how_.queues_always ? duration(std::chrono::hours(1)) : asked.left;
        const auto decision = placer_.choose(request, {false, left}, asked.at);
        const auto* chosen = std::get_if<place_on>(&decision);
        if (!chosen)
            return std::nullopt;
        return std::stoul(chosen->target.value.substr(1));
    }

    void on_sent(std::size_t target, time_point now)
    {
        placer_.find(id_of(target))->on_sent(now);
    }

    void on_ended(std::size_t target, bool good, time_point now)
    {
        placer_.find(id_of(target))
            ->on_ended(good ? health_signal::good : health_signal::neutral,
                       now);
    }

    void on_pause(std::size_t target, duration left, time_point now)
    {
        if (how_.keeps_pauses)
            placer_.find(id_of(target))->on_pause(left, now);
    }

private:
    static target_id id_of(std::size_t index)
    {
        return {"t" + std::to_string(index)};
    }

    static placement_settings settings_of(std::size_t instance,
                                          const options& how)
    {
        placement_settings result;
        result.data_centre = {"d"};
        result.self = {"i" + std::to_string(instance)};
        result.min_free_share = how.min_free_share;
        return result;
    }

    static service_id service()
    {
        return {"s"};
    }

    options how_;
    double work_;
    target_placer placer_;
};

/// Baselines choose by reports that are sent periodically, and never refuse.
class baseline_choice
{
public:
    enum class rule
    {
        random,
        round_robin,
        least_reported,
        two_choices
    };

    baseline_choice(rule which, const load_pattern& pattern,
                    std::size_t instance)
        : rule_(which), random_(pattern.seed, 100 + instance), next_(instance)
    {
    }

    std::optional<std::size_t> choose(std::span<const target_view> targets,
                                      const request_view&)
    {
        switch (rule_) {
        case rule::random:
            return draw(targets.size());
        case rule::round_robin:
            return next_++ % targets.size();
        case rule::least_reported:
            return least(targets);
        case rule::two_choices:
            break;
        }
        const auto one = draw(targets.size());
        const auto other = draw(targets.size());
        return targets[other].reported < targets[one].reported ? other : one;
    }

    void on_sent(std::size_t, time_point)
    {
    }

    void on_ended(std::size_t, bool, time_point)
    {
    }

    void on_pause(std::size_t, duration, time_point)
    {
    }

private:
    std::size_t draw(std::size_t count)
    {
        return random_(static_cast<std::uint32_t>(count));
    }

    std::size_t least(std::span<const target_view> targets)
    {
        // From a random one on, so that equals are chosen equally often.
        const auto first = draw(targets.size());
        auto best = first;
        for (std::size_t i = 1; i < targets.size(); ++i) {
            const auto at = (first + i) % targets.size();
            if (targets[at].reported < targets[best].reported)
                best = at;
        }
        return best;
    }

    rule rule_;
    random_engine random_;
    std::size_t next_;
};

using choice = std::variant<library_choice, baseline_choice>;

} // namespace vanillapost::bench

#endif
