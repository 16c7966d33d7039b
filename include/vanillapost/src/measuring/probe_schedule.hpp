#ifndef VANILLAPOST_SRC_MEASURING_PROBE_SCHEDULE_HPP
#define VANILLAPOST_SRC_MEASURING_PROBE_SCHEDULE_HPP

#include "../base/identifier.hpp"
#include "../base/random.hpp"
#include "../base/time.hpp"

#include <map>
#include <optional>
#include <vector>

namespace vanillapost {

struct probe_settings
{
    /// Least time between two probes of one target by all entries together.
    duration interval = std::chrono::milliseconds(500);
    duration longest_backoff = std::chrono::seconds(8);
    /// A probe without an answer counts as ended after this time.
    duration timeout = std::chrono::seconds(1);
};

/// Says when each held target is to be probed.
///
/// Only the holder probes, with at most one probe at a time and one in each
/// interval. A new holder, and one that is not alone, waits for two intervals,
/// so that it and the previous holder together stay within the budget. An
/// answer to real work puts the next probe off. A target that cannot be
/// reached is probed ever more rarely.
class probe_schedule
{
public:
    explicit probe_schedule(const probe_settings& settings = {});

    /// A target is held from now on, or whether alone has changed.
    void hold(const target_id& target, bool alone, time_point now,
              random_engine& random);

    void release(const target_id& target);

    /// Targets to probe now. Each counts as being probed from here on.
    std::vector<target_id> start_due(time_point now);

    /// When `start_due` has something to return.
    std::optional<time_point> next_due() const;

    void on_result(const target_id& target, bool reachable, time_point now);

    /// A target answered real work.
    void on_traffic(const target_id& target, time_point now);

private:
    struct probed
    {
        bool alone = false;
        time_point due{};
        std::optional<time_point> started; ///< of the probe under way
        time_point last_start{};
        int unreachable = 0; ///< probes in a row without an answer
    };

    duration interval(const probed& target) const;

    probe_settings settings_;
    std::map<target_id, probed> targets_;
};

} // namespace vanillapost

#endif
