#ifndef VANILLAPOST_BENCH_ROUTING_BASELINE_RUN_HPP
#define VANILLAPOST_BENCH_ROUTING_BASELINE_RUN_HPP

#include "fake_target.hpp"
#include "vanillapost/routing.hpp"

#include <deque>
#include <vector>

namespace vanillapost::bench {

/// Entries without holds: each places on any target by dated load reports.
class baseline_entries
{
public:
    using answer = fake_target::answer;

    baseline_entries(event_queue& events, const scenario& setting,
                     std::deque<fake_target>& targets,
                     const placement_policy& policy)
        : events_(&events), setting_(&setting), targets_(&targets),
          policies_(entry_count, policy), random_(setting.seed, 2)
    {
        for (std::size_t i = 0; i < targets.size(); ++i) {
            placement_option option;
            option.own.target.value = "t" + std::to_string(i);
            option.own.limit = setting.slots;
            options_.push_back(option);
        }
    }

    /// Callers use any entry of their data centre.
    std::size_t entry_for(std::size_t centre)
    {
        std::vector<std::size_t> near;
        for (std::size_t i = 0; i < entry_count; ++i) {
            if (i % setting_->data_centres == centre)
                near.push_back(i);
        }
        return near[random_(static_cast<std::uint32_t>(near.size()))];
    }

    void serve(std::size_t entry, time_point deadline, answer done)
    {
        const auto chosen =
            *place(policies_[entry], options_, events_->now(), random_);
        const bool local =
            chosen % setting_->data_centres == entry % setting_->data_centres;
        const duration way = local ? within_centre : setting_->between_centres;
        events_->after(way, [this, chosen, way, deadline, done] {
            (*targets_)[chosen].receive(deadline, [this, way, done](bool ok) {
                events_->after(way, [done, ok] { done(ok); });
            });
        });
    }

    /// Reads the targets' load, as often as they report it.
    void read_reports()
    {
        for (std::size_t i = 0; i < options_.size(); ++i)
            options_[i].reported_load =
                static_cast<double>((*targets_)[i].in_flight()) /
                setting_->slots;
    }

    std::size_t forwards() const
    {
        return 0;
    }

private:
    event_queue* events_;
    const scenario* setting_;
    std::deque<fake_target>* targets_;
    std::vector<placement_policy> policies_;
    std::vector<placement_option> options_;
    random_engine random_;
};

} // namespace vanillapost::bench

#endif
